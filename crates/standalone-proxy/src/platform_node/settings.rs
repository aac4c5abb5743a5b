//! The settings of the platform's node, their checks, and the classes that are accepted while the settings
//! change. Reads no file and sends nothing.
//!
//! Clients learn of changed settings independently and somewhat later than the node. Until then, removed and
//! changed classes are accepted beside the new ones. Which of two classes with the same name a request means
//! is derived from its form (see `router`).

use join_up_to::Settings;
use join_up_to::settings::HostSettings;
use quick_error::quick_error;
use serde_json::Value;

/// The settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The settings of the balancer.
    pub balancer: Settings,
    /// The other settings of the node.
    pub host: HostSettings,
}

quick_error! {
    /// A setting has an invalid value.
    #[derive(Debug, PartialEq, Eq)]
    pub enum InvalidSetting {
        /// The number at this path of keys is not greater than 0.
        NotPositive(path: String) { display("{path}: must be greater than 0") }
    }
}

/// Merges settings: the new ones, with the removed and changed classes of the old ones added behind the new
/// classes.
pub fn merge_for_changeover(new: &NodeSettings, old: &NodeSettings) -> NodeSettings {
    let mut merged = new.clone();
    for (name, class) in old.host.classes.iter().zip(&old.balancer.classes) {
        let mut classes = merged.host.classes.iter().zip(&merged.balancer.classes);
        let is_unchanged = classes.any(|(n, c)| n == name && c == class);
        if !is_unchanged {
            merged.host.classes.push(name.clone());
            merged.balancer.classes.push(class.clone());
        }
    }
    merged
}

/// Returns the path of the first key that the old settings have and the new ones lack, if there is one. An
/// entry of a list must have the keys that all entries of the old list have.
pub fn first_missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| match new.get(key) {
            None => Some(key.clone()),
            Some(new) => first_missing_key(old, new).map(|below| format!("{key}.{below}")),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let (first, others) = old.split_first()?;
            let keys = first.as_object()?.keys().filter(|key| others.iter().all(|o| o.get(key).is_some()));
            let keys: Vec<_> = keys.collect();
            new.iter().enumerate().find_map(|(i, entry)| {
                let key = keys.iter().find(|key| entry.get(key).is_none())?;
                Some(format!("[{i}].{key}"))
            })
        }
        _ => None,
    }
}

/// Checks the values of settings that have been parsed.
///
/// # Errors
/// The deadline of a class, or the maximum number of attempts, is not greater than 0.
pub fn validate(settings: &Value) -> Result<(), InvalidSetting> {
    let is_positive = |value: &Value| value.as_f64().is_some_and(|n| n > 0.0);
    let classes = settings.get("Classes").and_then(Value::as_array).into_iter().flatten();
    let mut deadlines = classes.enumerate().filter_map(|(i, class)| Some((i, class.get("GiveUp")?)));
    if let Some((i, _)) = deadlines.find(|(_, deadline)| !is_positive(deadline)) {
        return Err(InvalidSetting::NotPositive(format!("Classes[{i}].GiveUp")));
    }
    let attempts = settings.get("Permissions").and_then(|permissions| permissions.get("AttemptsCap"));
    if attempts.is_some_and(|attempts| !is_positive(attempts)) {
        return Err(InvalidSetting::NotPositive("Permissions.AttemptsCap".to_string()));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
