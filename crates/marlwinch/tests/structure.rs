//! The structure that `docs/architecture.md` describes: which packages depend on which, and that modules of a
//! package have no dependency cycle.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Packages without I/O that are in neither of the layers `decisions` and `state`: messages, and values with
/// units.
const PURE: [&str; 2] = ["control-protocol", "units"];
/// The packages that run as a process of their own.
const ROLES: [&str; 4] = ["coordinator", "agent", "data-plane", "standalone-proxy"];
/// The package of the program that the deploy file starts.
const DEPLOYED: &str = "marlwinch-roles";
/// Packages for tests and experiments that a role may use: the recorder writes traces in the load generator's
/// format.
const USED_BY_ROLES: [(&str, &str); 1] = [("standalone-proxy", "load-generator")];

/// Modules or packages, each with its dependencies.
type Graph = BTreeMap<String, BTreeSet<String>>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn packages() -> Vec<String> {
    let entries = std::fs::read_dir(root().join("crates")).expect("the packages");
    let names = entries.map(|entry| entry.expect("an entry").file_name().into_string().expect("a text"));
    let mut names: Vec<String> = names.collect();
    names.sort();
    names
}

/// The packages of this workspace that a package depends on, without its dev-dependencies.
fn dependencies(package: &str) -> Vec<String> {
    let manifest = std::fs::read_to_string(root().join("crates").join(package).join("Cargo.toml"));
    let manifest = manifest.expect("a manifest");
    let section = manifest.split("\n[dependencies]\n").nth(1).unwrap_or_default();
    let lines = section.lines().take_while(|line| !line.starts_with('['));
    let names = lines.filter_map(|line| line.split(['.', ' ', '=']).next()).map(String::from);
    let packages = packages();
    names.filter(|name| packages.contains(name)).collect()
}

/// The packages of a layer, from the table of the architecture page.
fn layer(name: &str) -> Vec<String> {
    let page = std::fs::read_to_string(root().join("docs/architecture.md")).expect("the page");
    let start = format!("| {name} | ");
    let row = page.lines().find_map(|line| line.strip_prefix(&start)).expect("a row of the layer");
    let cell = row.split(" | ").next().expect("a cell");
    cell.split('`').skip(1).step_by(2).map(String::from).collect()
}

#[test]
fn decisions_and_state_depend_on_no_package_with_io() {
    let (decisions, state) = (layer("decisions"), layer("state"));
    assert!(decisions.len() > 5 && state.len() > 3, "{decisions:?} {state:?}");
    let is_pure = |name: &String| PURE.contains(&name.as_str());
    for package in decisions.iter().chain(&state) {
        for dependency in dependencies(package) {
            let is_below = state.contains(&dependency) || is_pure(&dependency);
            let is_allowed = is_below || decisions.contains(&dependency) && decisions.contains(package);
            assert!(is_allowed, "{package} depends on {dependency}");
        }
    }
    for package in PURE {
        for dependency in dependencies(package) {
            assert!(state.contains(&dependency) || is_pure(&dependency), "{package} depends on {dependency}");
        }
    }
}

/// A package with all that it depends on, directly or not.
fn closure(package: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    let mut queue = vec![package.to_string()];
    while let Some(next) = queue.pop() {
        queue.extend(dependencies(&next));
        found.insert(next);
    }
    found
}

#[test]
fn the_program_that_is_deployed_holds_the_roles_and_no_tool() {
    let deployed = closure(DEPLOYED);
    assert!(
        ["coordinator", "agent", "data-plane"].iter().all(|role| deployed.contains(*role)),
        "{deployed:?}"
    );
    let is_tool =
        |name: &&String| layer("tests and experiments").contains(name) || name.ends_with("-simulation");
    let tools: Vec<&String> = deployed.iter().filter(is_tool).collect();
    assert!(tools.is_empty(), "{DEPLOYED} holds {tools:?}");
    assert!(!deployed.contains("marlwinch") && !deployed.contains("standalone-proxy"), "{deployed:?}");
}

#[test]
fn roles_depend_on_no_package_for_tests_and_experiments() {
    let ends_with_simulation = |name: &String| name.ends_with("-simulation");
    let experiments = layer("tests and experiments");
    for role in ROLES {
        for dependency in dependencies(role) {
            let is_used = USED_BY_ROLES.contains(&(role, dependency.as_str()));
            let is_experiment = experiments.contains(&dependency) || ends_with_simulation(&dependency);
            assert!(is_used || !is_experiment, "{role} depends on {dependency}");
        }
    }
}

/// The modules below a source folder with their texts, by their paths in the package, without tests.
fn modules(sources: &Path) -> BTreeMap<String, String> {
    let mut modules = BTreeMap::new();
    let mut folders = vec![(sources.to_path_buf(), String::new())];
    while let Some((folder, prefix)) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            let name = path.file_stem().and_then(|stem| stem.to_str()).expect("a name").to_string();
            let module = if name == "mod" { prefix.clone() } else { join(&prefix, &name) };
            if path.is_dir() && name != "bin" {
                folders.push((path, module));
            } else if path.extension().is_some_and(|extension| extension == "rs")
                && !["lib", "main", "tests"].contains(&name.as_str())
            {
                modules.insert(module, std::fs::read_to_string(&path).expect("a source"));
            }
        }
    }
    modules
}

fn join(prefix: &str, name: &str) -> String {
    if prefix.is_empty() { name.to_string() } else { format!("{prefix}::{name}") }
}

/// The paths in a module that start with `crate` or `super`, from the root of the package. A list in braces
/// gives one path for each item.
fn paths_in(module: &str, text: &str) -> Vec<String> {
    let code: String = text.lines().map(|line| line.split("//").next().unwrap_or_default()).collect();
    let mut paths = Vec::new();
    for (start, word) in [("crate::", false), ("super::", true)] {
        for (at, _) in code.match_indices(start) {
            let is_word_start = !code[..at].ends_with(|c: char| c.is_alphanumeric() || c == '_' || c == ':');
            if is_word_start {
                let base = if word { module } else { "" };
                paths.extend(resolve(base, &code[at..]));
            }
        }
    }
    paths
}

/// The paths at the start of a text: `crate::a::b`, `super::a` or `crate::a::{b, c}`.
fn resolve(module: &str, text: &str) -> Vec<String> {
    let is_path = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
    let end = text.find(|c| !is_path(c)).unwrap_or(text.len());
    let mut base: Vec<&str> = if module.is_empty() { Vec::new() } else { module.split("::").collect() };
    for segment in text[..end].split("::").filter(|segment| !segment.is_empty()) {
        match segment {
            "crate" => {}
            "super" => drop(base.pop()),
            name => base.push(name),
        }
    }
    let path = base.join("::");
    let Some(list) = text[end..].strip_prefix('{').and_then(|rest| rest.split('}').next()) else {
        return vec![path];
    };
    let names = list.split(',').map(|item| item.trim().split([':', ' ', '{']).next().unwrap_or_default());
    names.map(|name| join(&path, name)).collect()
}

/// The dependencies between sibling modules. A module and its submodules count as one.
fn sibling_graph(modules: &BTreeMap<String, String>) -> Graph {
    let mut graph = Graph::new();
    for (module, text) in modules {
        for path in paths_in(module, text) {
            let known = (0..=path.len()).rev().filter(|end| path.is_char_boundary(*end));
            let target = known.map(|end| &path[..end]).find(|path| modules.contains_key(*path));
            let Some((from, to)) = target.and_then(|target| siblings(module, target)) else { continue };
            graph.entry(from).or_default().insert(to);
        }
    }
    graph
}

/// The ancestors of two modules, or the modules themselves, that are siblings. `None` if one contains the
/// other.
fn siblings(one: &str, other: &str) -> Option<(String, String)> {
    let (one, other): (Vec<&str>, Vec<&str>) = (one.split("::").collect(), other.split("::").collect());
    let common = one.iter().zip(&other).take_while(|(one, other)| one == other).count();
    let is_apart = common < one.len() && common < other.len();
    is_apart.then(|| (one[..=common].join("::"), other[..=common].join("::")))
}

/// Removes nodes without remaining dependencies until none is left to remove. Returns the rest: the members
/// of cycles, and the nodes that depend on them.
fn in_cycles(graph: &Graph) -> BTreeSet<String> {
    let mut left: BTreeSet<String> = graph.keys().cloned().collect();
    loop {
        let depends = |name: &String| graph[name].iter().any(|target| left.contains(target));
        let next: BTreeSet<String> = left.iter().filter(|name| depends(name)).cloned().collect();
        if next.len() == left.len() {
            return left;
        }
        left = next;
    }
}

#[test]
fn modules_of_a_package_have_no_dependency_cycle() {
    let mut edges = 0;
    for package in packages() {
        let graph = sibling_graph(&modules(&root().join("crates").join(&package).join("src")));
        edges += graph.values().map(BTreeSet::len).sum::<usize>();
        let cycles = in_cycles(&graph);
        assert!(cycles.is_empty(), "{package}: a dependency cycle among or below {cycles:?}");
    }
    assert!(edges > 500, "{edges} dependencies were found");
}

#[test]
fn a_dependency_cycle_is_detected() {
    let text = |text: &str| text.to_string();
    let mut modules = BTreeMap::from([
        (text("chain"), text("use crate::message::Append;\nuse super::log;")),
        (text("log"), text("// crate::chain\nuse crate::{message, message::Entry};")),
        (text("message"), text("")),
        (text("message::entry"), text("use super::super::log::Log;")),
    ]);
    assert_eq!(in_cycles(&sibling_graph(&modules)).len(), 3, "by a module below another one");
    modules.insert(text("message::entry"), text("use crate::message::Append;"));
    assert!(in_cycles(&sibling_graph(&modules)).is_empty());
}
