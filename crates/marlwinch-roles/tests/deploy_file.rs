//! The deploy file of the system keeps the platform's rules: what it builds, which programs it starts on which
//! machines, and who may call them.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The classes of machines.
const CLASSES: [&str; 2] = ["frontend", "core"];
/// What a role may serve. The role that serves `frontend` carries the traffic.
const SERVICES: [&str; 2] = ["frontend", "control"];
/// The role that carries the traffic runs on all machines of its class.
const TRAFFIC: &str = "frontend";
/// The most roles of one machine.
const MAX_ROLES: usize = 2;
/// Where a build places all that it produces.
const BUILD_FOLDER: &str = "target/";
/// What a command line may consist of: it is split at spaces, without a shell.
const COMMAND_CHARACTERS: &[u8] = b" /._-=:";

#[derive(Deserialize)]
struct DeployFile {
    build: String,
    packages: Vec<String>,
    roles: BTreeMap<String, Role>,
}

#[derive(Deserialize)]
struct Role {
    run: String,
    on: String,
    share: Option<f64>,
    count: Option<u32>,
    #[serde(default)]
    serves: Vec<String>,
    metrics: Option<String>,
}

/// All violations of the platform's rules.
fn violations(file: &DeployFile) -> Vec<String> {
    let mut found = Vec::new();
    if file.build.trim().is_empty() {
        found.push("build is empty".into());
    }
    if file.packages.is_empty() || file.packages.iter().any(|name| name.trim().is_empty()) {
        found.push("packages is empty, or has an empty name".into());
    }
    if file.roles.is_empty() {
        found.push("there are no roles".into());
    }
    for (name, role) in &file.roles {
        found.extend(role_violations(role).into_iter().map(|reason| format!("roles.{name}: {reason}")));
    }
    for class in CLASSES {
        found.extend(class_violations(file, class).into_iter().map(|reason| format!("{class}: {reason}")));
    }
    found
}

fn role_violations(role: &Role) -> Vec<String> {
    let mut found = Vec::new();
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || COMMAND_CHARACTERS.contains(&byte);
    if !role.run.starts_with(BUILD_FOLDER) || role.run.contains("..") || !role.run.bytes().all(is_plain) {
        found.push(format!("run is not a program of the build with plain arguments: {}", role.run));
    }
    if !CLASSES.contains(&role.on.as_str()) {
        found.push(format!("there are no machines of the class {}", role.on));
    }
    match (role.share, role.count) {
        (Some(share), None) if share > 0.0 && share <= 1.0 => {}
        (None, Some(count)) if count > 0 => {}
        _ => found.push("one of share (above 0, up to 1) and count (from 1) is needed".into()),
    }
    let carries_traffic = role.serves.iter().any(|service| service == TRAFFIC);
    if carries_traffic && role.share != Some(1.0) {
        found.push("it carries the traffic, and share is not 1".into());
    }
    for service in role.serves.iter().filter(|service| !SERVICES.contains(&service.as_str())) {
        found.push(format!("nobody calls {service}"));
    }
    if let Some(metrics) = &role.metrics
        && !role.run.ends_with(&format!(" --metrics {metrics}"))
    {
        found.push(format!("the program is not told to serve metrics at {metrics}"));
    }
    found
}

/// Violations of the roles that share a class of machines.
fn class_violations(file: &DeployFile, class: &str) -> Vec<String> {
    let roles: Vec<&Role> = file.roles.values().filter(|role| role.on == class).collect();
    let mut found = Vec::new();
    if roles.len() > MAX_ROLES {
        found.push(format!("{} roles, {MAX_ROLES} at most", roles.len()));
    }
    let mut served = BTreeSet::new();
    for service in roles.iter().flat_map(|role| &role.serves) {
        if !served.insert(service) {
            found.push(format!("two roles serve {service}"));
        }
    }
    let mut ports = BTreeSet::new();
    for port in roles.iter().filter_map(|role| role.metrics.as_ref()?.split('/').next()) {
        if !ports.insert(port) {
            found.push(format!("two roles serve metrics at port {port}"));
        }
    }
    found
}

fn parse(text: &str) -> DeployFile {
    toml::from_str(text).expect("a deploy file")
}

fn deploy_file() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    std::fs::read_to_string(path).expect("the deploy file")
}

#[test]
fn the_deploy_file_keeps_the_rules_of_the_platform() {
    assert_eq!(violations(&parse(&deploy_file())), Vec::<String>::new());
}

#[test]
fn each_role_is_started_from_the_package_that_the_build_names() {
    let file = parse(&deploy_file());
    let package = file.build.split("-p ").nth(1).and_then(|rest| rest.split(' ').next());
    assert_eq!(package, Some(env!("CARGO_PKG_NAME")));
    for (name, role) in &file.roles {
        let program = format!("target/release/{} {name}", env!("CARGO_PKG_NAME"));
        assert!(role.run.starts_with(&program), "{}", role.run);
    }
}

/// What one change of the deploy file violates.
fn violations_with(from: &str, to: &str) -> Vec<String> {
    let text = deploy_file();
    assert!(text.contains(from), "{from}");
    violations(&parse(&text.replacen(from, to, 1)))
}

#[test]
fn each_rule_is_checked() {
    let program = "run = \"target/release/marlwinch-roles agent";
    let one = |from: &str, to: &str, reason: &str| {
        let found = violations_with(from, to);
        assert!(found.len() == 1 && found[0].contains(reason), "{to}: {found:?}");
    };
    one("build = \"cargo", "build = \"\" # \"", "build is empty");
    one("packages = [\"gcc\", \"libc6-dev\", \"ca-certificates\"]", "packages = []", "packages is empty");
    one(program, "run = \"env target/release/marlwinch-roles agent", "not a program of the build");
    one(program, "run = \"target/../marlwinch-roles agent", "not a program of the build");
    one(program, "run = \"target/release/marlwinch-roles agent;", "not a program of the build");
    one("on = \"core\"", "on = \"edge\"", "no machines of the class edge");
    one("share = 1.0\nserves = [\"control\"]", "serves = [\"control\"]", "one of share");
    one("share = 1.0\nserves = [\"control\"]", "share = 1.5\nserves = [\"control\"]", "one of share");
    one(
        "share = 1.0\nserves = [\"frontend\"]",
        "share = 0.5\nserves = [\"frontend\"]",
        "carries the traffic",
    );
    one("serves = [\"control\"]", "serves = [\"operators\"]", "nobody calls operators");
    one("serves = []", "serves = [\"frontend\"]", "two roles serve frontend");
    one("metrics = \"9465/metrics\"", "metrics = \"9466/metrics\"", "not told to serve metrics");
    let third = "[roles.third]\nrun = \"target/a\"\non = \"frontend\"\nshare = 1.0\n[roles.agent]";
    one("[roles.agent]", third, "3 roles, 2 at most");
}
