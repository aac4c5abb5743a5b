//! The commands of the roles, as the deploy file has them.

use crate::TrialError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// A role that runs as a process of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// A member of the core.
    Coordinator,
    /// The agent of a frontend.
    Agent,
    /// The data plane of a frontend.
    DataPlane,
}

impl Role {
    /// The name of the role in the deploy file.
    pub fn name(self) -> &'static str {
        match self {
            Role::Coordinator => "coordinator",
            Role::Agent => "agent",
            Role::DataPlane => "data-plane",
        }
    }
}

#[derive(Deserialize)]
struct DeployFile {
    roles: BTreeMap<String, RoleEntry>,
}

#[derive(Deserialize)]
struct RoleEntry {
    run: String,
}

/// The arguments of the roles' commands, without the program.
#[derive(Clone, Debug)]
pub struct RoleCommands {
    arguments: BTreeMap<String, Vec<String>>,
}

impl RoleCommands {
    /// Reads the commands of all roles from a deploy file.
    ///
    /// # Errors
    /// The file can't be read or parsed, or lacks a role.
    pub fn load(path: &Path) -> Result<Self, TrialError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| TrialError::Io("read the deploy file", error))?;
        let invalid = |reason: String| TrialError::DeployFile(path.into(), reason);
        let file: DeployFile = toml::from_str(&text).map_err(|error| invalid(error.to_string()))?;
        let words = |run: &str| run.split(' ').skip(1).map(String::from).collect();
        let arguments: BTreeMap<String, Vec<String>> =
            file.roles.iter().map(|(name, entry)| (name.clone(), words(&entry.run))).collect();
        for role in [Role::Coordinator, Role::Agent, Role::DataPlane] {
            if !arguments.contains_key(role.name()) {
                return Err(invalid(format!("no command for the role {}", role.name())));
            }
        }
        Ok(RoleCommands { arguments })
    }

    /// The arguments of a role's command.
    pub fn arguments(&self, role: Role) -> &[String] {
        self.arguments.get(role.name()).map_or(&[], Vec::as_slice)
    }
}
