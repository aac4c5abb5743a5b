//! Starts, pauses, resumes, terminates and kills a process through a [`supervisor`](crate::supervisor), so
//! that no process outlives the trial. Callers wait for log lines and exits instead of fixed times.

use crate::history::ResourceUsage;
use crate::lock::lock;
use std::ffi::OsString;
use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The number of log lines that are guaranteed to be retained; older ones are discarded.
const RETAINED_LINES: usize = 400;
/// How long the supervisor may take to report that its process has started.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Environment variables that a process does not inherit, because they would change a node's configuration.
const CLEARED_VARIABLES: [&str; 6] =
    ["ROUTER_CONFIG", "ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_DISCOVERY", "ROUTER_CONSOLE", "TMPDIR"];

/// The programs that a trial starts, and the environment of its nodes.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The supervisor's command line. The program to supervise and its arguments are appended.
    pub supervisor: Vec<OsString>,
    /// The path of the program that runs as a node.
    pub node: PathBuf,
    /// Additional environment variables of nodes.
    pub variables: Vec<(OsString, OsString)>,
}

/// The command line and the environment of a process to start.
#[derive(Clone, Debug, Default)]
pub struct Launch {
    /// The path of the program to start.
    pub program: PathBuf,
    /// The command line arguments, without the program's name.
    pub arguments: Vec<OsString>,
    /// Environment variables in addition to the inherited ones.
    pub variables: Vec<(OsString, OsString)>,
    /// The working directory of the process.
    pub folder: PathBuf,
    /// The file that the log of the process is appended to; `None` if its lines are kept in memory.
    pub log_file: Option<PathBuf>,
}

/// The state of a process as its streams have shown it so far.
#[derive(Default)]
struct Status {
    log: Vec<String>,
    /// The number of log lines that are no longer retained.
    discarded_lines: usize,
    pid: Option<u32>,
    exit_code: Option<i32>,
    start_error: Option<String>,
    /// How many of the streams that are read from the supervisor have not ended.
    open_streams: u32,
}

#[derive(Default)]
struct Shared {
    status: Mutex<Status>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Status> {
        lock(&self.status)
    }

    fn update(&self, update: impl FnOnce(&mut Status)) {
        update(&mut self.lock());
        self.changed.notify_all();
    }
}

/// A started process. Dropping it kills the process and waits for its exit.
pub struct Process {
    shared: Arc<Shared>,
    supervisor: Child,
    commands: Option<ChildStdin>,
}

/// Reads a stream line by line until its end, on a thread of its own. Invalid UTF-8 is replaced.
fn spawn_line_reader(
    from: impl Read + Send + 'static,
    shared: Arc<Shared>,
    read_line: fn(&mut Status, String),
) {
    std::thread::spawn(move || {
        let mut from = BufReader::new(from);
        let mut bytes = Vec::new();
        while from.read_until(b'\n', &mut bytes).is_ok_and(|n| n > 0) {
            let text = String::from_utf8_lossy(&bytes).trim_end().to_string();
            shared.update(|status| read_line(status, text));
            bytes.clear();
        }
        shared.update(|status| status.open_streams -= 1);
    });
}

/// Reads a report of the supervisor.
fn read_report(status: &mut Status, line: String) {
    match line.split_once(' ') {
        Some(("pid", number)) => status.pid = number.parse().ok(),
        Some(("ended", code)) => status.exit_code = code.parse().ok(),
        Some(("failed", reason)) => status.start_error = Some(reason.to_string()),
        _ => {}
    }
}

fn append_log(status: &mut Status, line: String) {
    status.log.push(line);
    if status.log.len() > 2 * RETAINED_LINES {
        status.log.drain(..RETAINED_LINES);
        status.discarded_lines += RETAINED_LINES;
    }
}

impl Process {
    /// Starts a process, and returns once the supervisor has reported its process id.
    ///
    /// # Errors
    /// The supervisor or the program can't be started.
    pub fn start(programs: &Programs, launch: &Launch) -> io::Result<Process> {
        let (supervisor, arguments) = programs
            .supervisor
            .split_first()
            .ok_or_else(|| io::Error::other("no supervisor command is configured"))?;
        let mut command = Command::new(supervisor);
        command.args(arguments).arg(&launch.program).args(&launch.arguments).current_dir(&launch.folder);
        for name in CLEARED_VARIABLES {
            command.env_remove(name);
        }
        command.envs(launch.variables.iter().cloned());
        // In a process group of its own, the supervisor gets no Ctrl-C from the terminal: only the trial
        // does, and the supervisor kills its process once the trial has ended.
        command.process_group(0);
        let log = match &launch.log_file {
            Some(path) => Stdio::from(OpenOptions::new().create(true).append(true).open(path)?),
            None => Stdio::piped(),
        };
        let mut supervisor = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log).spawn()?;
        let shared = Arc::new(Shared::default());
        let streams = 1 + u32::from(supervisor.stderr.is_some());
        shared.update(|status| status.open_streams = streams);
        if let Some(reports) = supervisor.stdout.take() {
            spawn_line_reader(reports, shared.clone(), read_report);
        }
        if let Some(log) = supervisor.stderr.take() {
            spawn_line_reader(log, shared.clone(), append_log);
        }
        let commands = supervisor.stdin.take();
        let process = Process { shared, supervisor, commands };
        let started = process.wait_for(START_TIMEOUT, |status| match (&status.pid, &status.start_error) {
            (Some(_), _) => Some(Ok(())),
            (_, Some(reason)) => Some(Err(io::Error::other(reason.clone()))),
            _ if status.open_streams == 0 => {
                Some(Err(io::Error::other("the supervisor exited before the process started")))
            }
            _ => None,
        });
        started.unwrap_or_else(|| {
            Err(io::Error::other(format!("the supervisor did not report a start within {START_TIMEOUT:?}")))
        })?;
        Ok(process)
    }

    /// Waits until `find` returns a value; `None` after the time-out.
    fn wait_for<T>(&self, timeout: Duration, mut find: impl FnMut(&Status) -> Option<T>) -> Option<T> {
        let deadline = Instant::now() + timeout;
        let mut status = self.shared.lock();
        loop {
            if let Some(found) = find(&status) {
                return Some(found);
            }
            let left = deadline.checked_duration_since(Instant::now())?;
            status = self.shared.changed.wait_timeout(status, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits for a log line for which `find` returns a value, starting with the oldest retained line. `None`
    /// if the process exits before that, or after the time-out.
    pub fn wait_for_line<T>(&self, timeout: Duration, find: impl Fn(&str) -> Option<T>) -> Option<T> {
        let mut read_lines = 0;
        let found = self.wait_for(timeout, |status| {
            let from = read_lines.max(status.discarded_lines) - status.discarded_lines;
            let found = status.log[from..].iter().find_map(|line| find(line));
            read_lines = status.discarded_lines + status.log.len();
            let has_ended = status.open_streams == 0;
            found.map(Some).or(has_ended.then_some(None))
        });
        found.flatten()
    }

    /// The process id; `None` once it has exited.
    pub fn pid(&self) -> Option<u32> {
        let status = self.shared.lock();
        status.pid.filter(|_| status.exit_code.is_none())
    }

    /// The exit code, or the negative number of the signal that ended it; `None` while it runs.
    pub fn exit_code(&self) -> Option<i32> {
        self.shared.lock().exit_code
    }

    /// Waits for the process to exit and returns [`Process::exit_code`]; `None` after the time-out.
    pub fn wait_for_exit(&self, timeout: Duration) -> Option<i32> {
        self.wait_for(timeout, |status| status.exit_code)
    }

    /// The last lines that the process logged, oldest first; none if they go to a file.
    pub fn log(&self) -> Vec<String> {
        let status = self.shared.lock();
        status.log[status.log.len().saturating_sub(RETAINED_LINES)..].to_vec()
    }

    fn send_command(&mut self, command: &str) {
        if let Some(commands) = &mut self.commands {
            // Fails only if the supervisor has exited, which it does after its process.
            let _ = commands.write_all(format!("{command}\n").as_bytes()).and_then(|()| commands.flush());
        }
    }

    /// Pauses the process: the supervisor sends it SIGSTOP.
    pub fn pause(&mut self) {
        self.send_command("stop");
    }

    /// Resumes a paused process: the supervisor sends it SIGCONT.
    pub fn resume(&mut self) {
        self.send_command("wake");
    }

    /// Asks the process to shut down: the supervisor sends it SIGTERM.
    pub fn terminate(&mut self) {
        self.send_command("end");
    }

    /// Asks the process to reload its configuration: the supervisor sends it SIGHUP.
    pub fn reload(&mut self) {
        self.send_command("reload");
    }

    /// Kills the process: the supervisor sends it SIGKILL.
    pub fn kill(&mut self) {
        self.send_command("kill");
    }

    /// The current resources of the process, from `/proc`; `None` if it does not run.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let folder = PathBuf::from(format!("/proc/{}", self.pid()?));
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count() as u64;
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let status_field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
            line.split_whitespace().next()?.parse().ok()
        };
        Some(ResourceUsage {
            descriptors,
            threads: status_field("Threads")?,
            memory_kib: status_field("VmRSS")?,
        })
    }

    /// Whether the system shows the process as stopped: state `T` in `/proc`.
    pub fn is_paused(&self) -> bool {
        let stat = self.pid().and_then(|pid| std::fs::read_to_string(format!("/proc/{pid}/stat")).ok());
        stat.is_some_and(|stat| stat.rsplit(") ").next().is_some_and(|state| state.starts_with('T')))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Closing its standard input has the supervisor kill the process.
        self.commands = None;
        let _ = self.supervisor.wait();
    }
}
