//! Supervised processes can be paused, resumed and ended, their logs are read, and none outlives its handle.

use fault_injection::process::{Launch, Process, Programs};
use fault_injection::process_folder::{FolderCondition, ProcessFolder};
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(30);

fn programs() -> Programs {
    let standin = env!("CARGO_BIN_EXE_trial-standin");
    Programs { supervisor: vec![standin.into(), "keep".into()], node: standin.into(), variables: Vec::new() }
}

fn shell(script: &str, folder: &Path) -> Process {
    let launch = Launch {
        program: "/bin/sh".into(),
        arguments: vec!["-c".into(), script.into()],
        folder: folder.to_path_buf(),
        ..Launch::default()
    };
    Process::start(&programs(), &launch).expect("a process")
}

fn exists(pid: u32) -> bool {
    Path::new(&format!("/proc/{pid}")).exists()
}

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("descriptors").count()
}

#[test]
fn two_hundred_starts_and_ends_leave_no_process_and_no_descriptor() {
    let folder = TempDir::new().expect("a folder");
    let before = open_descriptors();
    let mut pids = Vec::new();
    for round in 0..20 {
        let mut all: Vec<_> = (0..10).map(|_| shell("echo up >&2; exec sleep 600", folder.path())).collect();
        for (number, process) in all.iter_mut().enumerate() {
            pids.extend(process.pid());
            match (number + round) % 4 {
                0 => process.kill(),
                1 => {
                    process.pause();
                    process.kill();
                }
                2 => process.terminate(),
                _ => continue, // dropped while it runs
            }
            assert!(process.wait_for_exit(TIMEOUT).is_some_and(|code| code < 0));
            assert_eq!(process.pid(), None);
        }
    }
    assert_eq!(pids.len(), 200);
    assert!(pids.into_iter().all(|pid| !exists(pid)));
    // The threads that read the logs close their descriptors a little later.
    let start = Instant::now();
    while open_descriptors() > before + 4 && start.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(open_descriptors() <= before + 4, "{} descriptors, {before} before", open_descriptors());
    let path = folder.path().to_path_buf();
    folder.close().expect("the folder is removed");
    assert!(!path.exists());
}

#[test]
fn log_lines_exit_codes_and_the_paused_state_of_a_process_are_reported() {
    let folder = TempDir::new().expect("a folder");
    let mut process = shell("echo first >&2; echo listens on 7 >&2; read x < /dev/zero", folder.path());
    assert_eq!(
        process.wait_for_line(TIMEOUT, |line| line.strip_prefix("listens on ")?.parse().ok()),
        Some(7)
    );
    assert_eq!(process.exit_code(), None);
    assert!(process.resource_usage().is_some_and(|usage| usage.descriptors > 0 && usage.threads == 1));
    process.pause();
    let start = Instant::now();
    while !process.is_paused() && start.elapsed() < TIMEOUT {}
    assert!(process.is_paused());
    process.resume();
    while process.is_paused() && start.elapsed() < TIMEOUT {}
    assert!(!process.is_paused());
    process.terminate();
    assert_eq!(process.wait_for_exit(TIMEOUT), Some(-15));
    let process = shell("echo gone >&2; exit 3", folder.path());
    assert_eq!(process.wait_for_exit(TIMEOUT), Some(3));
    assert_eq!(process.wait_for_line(TIMEOUT, |line| (line == "never").then_some(())), None);
    assert_eq!(process.log(), ["gone"]);
    let launch =
        Launch { program: "/nowhere/at/all".into(), folder: folder.path().into(), ..Launch::default() };
    let e = Process::start(&programs(), &launch).map(drop).expect_err("no such program");
    assert!(e.to_string().contains("No such file"), "{e}");
}

#[test]
fn a_folder_can_be_unchanged_restored_from_a_snapshot_damaged_or_emptied() {
    let parent = TempDir::new().expect("a folder");
    let folder = ProcessFolder::new(parent.path(), "node-1").expect("a folder");
    let write = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).expect("written");
    let read = |name: &str| std::fs::read_to_string(folder.path().join(name)).ok();
    write("a", "1234");
    std::fs::create_dir(folder.path().join("sub")).expect("a folder");
    write("sub/b", "12");
    folder.take_snapshot().expect("a copy");
    write("a", "newer");
    write("c", "more");
    folder.set_condition(FolderCondition::Unchanged).expect("left");
    assert_eq!((read("a"), read("c")), (Some("newer".into()), Some("more".into())));
    folder.set_condition(FolderCondition::Snapshot).expect("left");
    assert_eq!((read("a"), read("sub/b"), read("c")), (Some("1234".into()), Some("12".into()), None));
    write("c", "more");
    folder.set_condition(FolderCondition::Damaged).expect("left");
    assert_eq!((read("a"), read("sub/b"), read("c")), (Some("12".into()), Some("1".into()), None));
    folder.set_condition(FolderCondition::Empty).expect("left");
    assert_eq!(std::fs::read_dir(folder.path()).expect("a folder").count(), 0);
}
