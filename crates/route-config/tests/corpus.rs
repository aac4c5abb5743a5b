//! Loads the files of `tests/corpus`: those in `good` have no errors, and each in `bad` has exactly the
//! errors that it declares, at the lines that it declares. An error is declared by `#~ MW100` at the end of
//! its line or, for a file that can't have such a comment, by a line `MW100 14` in a file of the same name
//! that ends in `.expect`.

use route_config::diagnostic::{Code, Lines};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn files(folder: &str) -> Vec<PathBuf> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus").join(folder);
    let entries = std::fs::read_dir(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let mut files: Vec<_> = entries.map(|entry| entry.expect("an entry").path()).collect();
    files.sort();
    files.into_iter().filter(|path| path.extension().is_some_and(|end| end == "toml")).collect()
}

/// The errors that a file declares, as codes and lines, sorted by line and code.
fn expected(path: &Path, bytes: &[u8]) -> Vec<(String, usize)> {
    let beside = path.with_extension("expect");
    let mut expected = Vec::new();
    if let Ok(text) = std::fs::read_to_string(&beside) {
        for line in text.lines() {
            let (code, line) = line.split_once(' ').expect("a code and a line");
            expected.push((code.to_string(), line.parse().expect("a line's number")));
        }
    }
    for (number, line) in String::from_utf8_lossy(bytes).lines().enumerate() {
        if let Some((_, codes)) = line.split_once("#~ ") {
            expected.extend(codes.split_whitespace().map(|code| (code.to_string(), number + 1)));
        }
    }
    expected.sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
    expected
}

fn found(bytes: &[u8]) -> Vec<(String, usize)> {
    let Err(invalid) = route_config::load(bytes) else { return Vec::new() };
    let text = String::from_utf8_lossy(bytes);
    let lines = Lines::of(&text);
    let mut found: Vec<_> = invalid
        .diagnostics
        .iter()
        .map(|error| (error.code.as_str().to_string(), lines.position(error.span.start).line))
        .collect();
    found.sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
    found
}

#[test]
fn invalid_files_have_exactly_the_errors_that_they_declare() {
    let files = files("bad");
    assert!(files.len() >= 60, "{} bad files", files.len());
    let mut wrong = Vec::new();
    for path in files {
        let bytes = std::fs::read(&path).expect("a file");
        let (expected, found) = (expected(&path, &bytes), found(&bytes));
        if expected.is_empty() {
            wrong.push(format!("{}: declares no error; found {found:?}", path.display()));
        } else if expected != found {
            wrong.push(format!("{}: expected {expected:?}, found {found:?}", path.display()));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn valid_files_have_no_errors() {
    let files = files("good");
    assert!(files.len() >= 20, "{} good files", files.len());
    for path in files {
        let bytes = std::fs::read(&path).expect("a file");
        if let Err(invalid) = route_config::load(&bytes) {
            panic!("{}: {:#?}", path.display(), invalid.diagnostics);
        }
    }
}

/// Operators start from the example in `deploy/`, so it must be valid.
#[test]
fn the_example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example.toml");
    let bytes = std::fs::read(&path).expect("the example");
    assert!(route_config::load(&bytes).is_ok(), "{:#?}", route_config::load(&bytes).err());
}

/// Each code occurs in some invalid file, except those that concern the file on disk.
#[test]
fn every_code_has_an_invalid_file() {
    let mut covered = BTreeSet::new();
    for path in files("bad") {
        covered.extend(
            expected(&path, &std::fs::read(&path).expect("a file")).into_iter().map(|(code, _)| code),
        );
    }
    // Tested elsewhere: a file that is too large is generated, and an unreadable one is no file of this
    // folder.
    let elsewhere = [Code::FileTooLarge, Code::UnreadableFile];
    let missing: Vec<_> = Code::ALL
        .iter()
        .filter(|code| !elsewhere.contains(code) && !covered.contains(code.as_str()))
        .map(|code| code.as_str())
        .collect();
    assert!(missing.is_empty(), "no invalid file for {missing:?}");
}

/// The operators' page lists each code with its summary.
#[test]
fn every_code_is_on_the_operators_page() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/file.md");
    let page = std::fs::read_to_string(&path).expect("the page");
    for code in Code::ALL {
        let row = format!("| `{code}` | {} |", code.summary());
        assert!(page.contains(&row), "{} has no row: {row}", path.display());
    }
}

#[test]
fn every_error_has_a_position_within_the_text_and_a_help_line() {
    for path in files("bad") {
        let bytes = std::fs::read(&path).expect("a file");
        let Err(invalid) = route_config::load(&bytes) else { continue };
        for error in invalid.diagnostics {
            assert!(error.span.end <= bytes.len() && error.span.start <= error.span.end, "{error:?}");
            assert!(!error.help.is_empty() && !error.message.contains('\n'), "{error:?}");
        }
    }
}

#[test]
fn a_file_of_ten_mebibytes_is_rejected_without_being_parsed() {
    let line = b"# a line of comment\n";
    let bytes: Vec<u8> = line.iter().copied().cycle().take(10 << 20).collect();
    let invalid = route_config::load(&bytes).expect_err("too large");
    assert_eq!(invalid.diagnostics[0].code, Code::FileTooLarge);
}

/// The first 200 errors are returned, and the others are only counted.
#[test]
fn errors_beyond_the_maximum_are_only_counted() {
    let text: String = (0..5000).map(|i| format!("odd{i} = 1\n")).collect();
    let invalid = route_config::load(text.as_bytes()).expect_err("unknown keys");
    assert_eq!(invalid.diagnostics.len() + invalid.omitted, 5000);
    assert!(invalid.diagnostics.len() <= 200);
}
