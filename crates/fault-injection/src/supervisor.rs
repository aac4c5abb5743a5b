//! The supervisor of one process. It is the parent of the process, and kills it when its own standard input
//! closes: the trial holds the other end open, so that the process never outlives the trial, however that
//! ends. Commands arrive on standard input, a line each; standard output reports `pid N`, then `ended CODE`,
//! or `failed REASON`.

use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use std::ffi::OsString;
use std::io::{BufRead, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command, ExitCode, ExitStatus, Stdio};

/// The commands, each with the signal that it sends to the process.
const COMMANDS: [(&str, Signal); 5] = [
    ("stop", Signal::STOP),
    ("wake", Signal::CONT),
    ("kill", Signal::KILL),
    ("end", Signal::TERM),
    ("reload", Signal::HUP),
];

/// The exit code, or the negative number of the signal that ended the process.
fn exit_code(status: ExitStatus) -> i32 {
    status.code().or(status.signal().map(|signal| -signal)).unwrap_or(-1)
}

fn open_pidfd(child: &Child) -> std::io::Result<OwnedFd> {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    let pid = pid.ok_or_else(|| std::io::Error::other("the child process has an invalid process id"))?;
    // The child has not been reaped yet, so its id can't have been reused.
    Ok(pidfd_open(pid, PidfdFlags::empty())?)
}

fn report(text: &str) {
    // Writing fails once the trial has ended. The end of standard input shows that too, so the error is
    // ignored.
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// The stream for the standard output of the process: its standard error, as both are its log. Reports go to
/// the supervisor's own standard output.
fn log_stream() -> std::io::Result<Stdio> {
    Ok(Stdio::from(std::io::stderr().as_fd().try_clone_to_owned()?))
}

/// Starts a program and supervises it until it exits or standard input closes. Returns the exit code of the
/// supervisor: a failure only if the program could not be started.
pub fn supervise(program: &OsString, arguments: &[OsString]) -> ExitCode {
    let started = log_stream()
        .and_then(|log| Command::new(program).args(arguments).stdin(Stdio::null()).stdout(log).spawn());
    let mut child = match started {
        Ok(child) => child,
        Err(e) => {
            report(&format!("failed {e}\n"));
            return ExitCode::FAILURE;
        }
    };
    let process = match open_pidfd(&child) {
        Ok(process) => process,
        Err(e) => {
            report(&format!("failed {e}\n"));
            let _ = child.kill();
            let _ = child.wait();
            return ExitCode::FAILURE;
        }
    };
    report(&format!("pid {}\n", child.id()));
    let waiting = std::thread::spawn(move || {
        let status = child.wait();
        report(&format!("ended {}\n", status.map_or(-1, exit_code)));
        // The main thread may still block on standard input. Exiting also closes standard output, which tells
        // the trial that no report follows.
        std::process::exit(0);
    });
    for line in std::io::stdin().lock().lines() {
        let Ok(line) = line else { break };
        if let Some((_, signal)) = COMMANDS.iter().find(|(command, _)| *command == line) {
            // Fails only if the process has already exited.
            let _ = pidfd_send_signal(process.as_fd(), *signal);
        }
    }
    let _ = pidfd_send_signal(process.as_fd(), Signal::KILL);
    let _ = waiting.join();
    ExitCode::SUCCESS
}
