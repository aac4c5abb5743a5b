//! Checks that links and paths in the documentation lead to existing files.

use std::path::{Path, PathBuf};

/// Pages about the history of the project. They may name files that no longer exist.
const HISTORY: [&str; 4] = ["CHANGELOG.md", "docs/performance.md", "docs/decisions.md", "docs/ROADMAP.md"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The paths of all pages, relative to the root.
fn pages() -> Vec<PathBuf> {
    let mut pages: Vec<PathBuf> = ["README.md", "DEVELOPERS.md", "CHANGELOG.md"].map(PathBuf::from).to_vec();
    let mut folders = vec![PathBuf::from("docs")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(root().join(&folder)).expect("a folder") {
            let name = folder.join(entry.expect("an entry").file_name());
            if root().join(&name).is_dir() {
                folders.push(name);
            } else if name.extension().is_some_and(|extension| extension == "md") {
                pages.push(name);
            }
        }
    }
    pages.sort();
    pages
}

/// The targets of relative links, without their anchors.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split_once(')')).map(|(target, _)| target);
    let paths = targets.map(|target| target.split('#').next().unwrap_or_default());
    paths.filter(|path| !path.is_empty() && !path.contains("://")).collect()
}

/// Complete paths below `crates/`, `docs/`, `deploy/` and `.ci/` in backticks.
fn paths(text: &str) -> Vec<&str> {
    let quoted = text.split('`').skip(1).step_by(2);
    let is_path = |quoted: &&str| {
        ["crates/", "docs/", "deploy/", ".ci/"].iter().any(|start| quoted.starts_with(start))
            && !quoted.contains([' ', '*', '{', '<', '…'])
    };
    quoted.filter(is_path).collect()
}

#[test]
fn links_between_pages_lead_to_existing_files() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = std::fs::read_to_string(root().join(&page)).expect("a page");
        let folder = root().join(page.parent().expect("a folder"));
        let missing = links(&text).into_iter().filter(|link| !folder.join(link).exists());
        broken.extend(missing.map(|link| format!("{}: {link}", page.display())));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn paths_in_pages_exist() {
    let (mut missing, mut seen) = (Vec::new(), 0);
    for page in pages().into_iter().filter(|page| !HISTORY.iter().any(|history| page == Path::new(history))) {
        let text = std::fs::read_to_string(root().join(&page)).expect("a page");
        let named = paths(&text);
        seen += named.len();
        let gone = named.into_iter().filter(|path| !root().join(path).exists());
        missing.extend(gone.map(|path| format!("{}: {path}", page.display())));
    }
    assert!(missing.is_empty(), "{missing:#?}");
    assert!(seen > 40, "only {seen} paths were found");
}

#[test]
fn links_and_paths_are_extracted_from_text() {
    assert_eq!(links("see [a](b.md#c), [d](https://e) and [f](#g)"), ["b.md"]);
    assert_eq!(
        paths("`crates/a/b.rs`, `crates/*/c`, `x`, `cargo test` and `docs/d.md`"),
        ["crates/a/b.rs", "docs/d.md"]
    );
}
