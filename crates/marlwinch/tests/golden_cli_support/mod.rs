//! Shared by the golden tests of the command line: approved texts, transcripts of runs of the program, and
//! input files.
//!
//! An approved text is a file below `tests/golden/cli`. `GOLDEN=write cargo test -p marlwinch --test
//! golden_cli` writes it. Without that variable, a test fails if the file is missing or differs, and names
//! the first line that differs.
#![allow(dead_code)] // each test file uses only some of these

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc::channel;
use std::time::Duration;

/// The time limit of a run, which must end by itself.
const RUN_TIMEOUT: Duration = Duration::from_secs(60);

/// The folder of the approved texts and of the input files.
pub fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/cli")
}

/// Reads a file of this folder.
pub fn read(name: &str) -> String {
    let path = folder().join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Asserts that a text is equal to the approved one of this name, byte for byte, or writes that if `GOLDEN`
/// is `write`.
pub fn approve(name: &str, text: &str) {
    let path = folder().join(name);
    if std::env::var("GOLDEN").is_ok_and(|value| value == "write") {
        let parent = path.parent().expect("a folder");
        std::fs::create_dir_all(parent).expect("the folder is created");
        return std::fs::write(&path, text).expect("the approved text is written");
    }
    let approved = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{}: {error}; GOLDEN=write writes this file", path.display()));
    if text == approved {
        return;
    }
    let mut pairs = text.split('\n').zip(approved.split('\n'));
    let different = pairs.position(|(now, then)| now != then);
    let line = different.unwrap_or(text.split('\n').count().min(approved.split('\n').count()));
    let at = |text: &str| text.split('\n').nth(line).unwrap_or("(the end of the text)").to_string();
    panic!(
        "{}, line {}:\n  approved: {}\n  now:      {}\nGOLDEN=write approves the new text",
        path.display(),
        line + 1,
        at(&approved),
        at(text)
    );
}

/// A run of the program. It gets only the environment variables that are set here; its terminal is 100
/// columns wide.
pub struct Run {
    arguments: Vec<String>,
    variables: BTreeMap<String, String>,
    folder: PathBuf,
    replaced: Vec<(String, String)>,
}

impl Run {
    /// A run with these arguments.
    pub fn new(arguments: &[&str]) -> Self {
        let arguments = arguments.iter().map(|argument| argument.to_string()).collect();
        let folder = std::env::temp_dir();
        Run { arguments, variables: BTreeMap::new(), folder, replaced: Vec::new() }
    }

    /// Runs in this folder, so that paths of files in its output are short and the same on every machine.
    pub fn within(mut self, folder: &Path) -> Self {
        self.folder = folder.into();
        self
    }

    /// Sets an environment variable.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.variables.insert(name.into(), value.into());
        self
    }

    /// Replaces a text that differs from run to run by a fixed word in the transcript.
    pub fn replacing(mut self, what: impl Into<String>, word: &str) -> Self {
        self.replaced.push((what.into(), word.into()));
        self
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlwinch"));
        command.args(&self.arguments).current_dir(&self.folder).env_clear();
        command.env("COLUMNS", "100").envs(&self.variables).stdin(Stdio::null());
        command
    }

    /// Starts the process without waiting for its end.
    pub fn start(&self) -> Child {
        let mut command = self.command();
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("the program starts")
    }

    /// Runs the process to its end.
    pub fn output(&self) -> Output {
        let child = self.start();
        let id = child.id();
        let (sender, receiver) = channel();
        std::thread::spawn(move || sender.send(child.wait_with_output()));
        match receiver.recv_timeout(RUN_TIMEOUT) {
            Ok(output) => output.expect("its output"),
            Err(_) => {
                let _ = Command::new("sh").args(["-c", &format!("kill -9 {id}")]).status();
                panic!("{:?} does not end within {RUN_TIMEOUT:?}", self.arguments);
            }
        }
    }

    /// Runs the process to its end. Returns its command line, its exit code and its output; an empty stream
    /// is left out.
    pub fn transcript(&self) -> String {
        let output = self.output();
        let mut text = format!("$ {}\n", self.command_line());
        let code = output.status.code().map_or("none".to_string(), |code| code.to_string());
        let _ = writeln!(text, "exit code {code}");
        for (name, bytes) in [("standard output", output.stdout), ("standard error", output.stderr)] {
            if bytes.is_empty() {
                continue;
            }
            let output = String::from_utf8(bytes).expect("the output is UTF-8");
            let _ = writeln!(text, "--- {name}");
            text.push_str(&self.normalized(&output));
            if !output.ends_with('\n') {
                text.push_str("(no end of the line)\n");
            }
        }
        text.push('\n');
        text
    }

    /// The command line, quoted for a shell.
    fn command_line(&self) -> String {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "/._-=:,@%".contains(c);
        let quoted = |text: &str| match text.chars().all(is_plain) && !text.is_empty() {
            true => text.to_string(),
            false => format!("'{text}'"),
        };
        let mut words: Vec<_> =
            self.variables.iter().map(|(name, value)| format!("{name}={}", quoted(value))).collect();
        words.push("marlwinch".into());
        words.extend(self.arguments.iter().map(|argument| quoted(argument)));
        self.normalized(&words.join(" "))
    }

    /// A text in which fixed words replace what differs from run to run.
    fn normalized(&self, text: &str) -> String {
        let replace = |text: String, (what, word): &(String, String)| text.replace(what, word);
        without_times(&self.replaced.iter().fold(text.to_string(), replace))
    }
}

/// The transcripts of several runs, concatenated.
pub fn transcripts(runs: impl IntoIterator<Item = Run>) -> String {
    runs.into_iter().map(|run| run.transcript()).collect()
}

/// The prefix of a line of standard error in a log that holds both streams.
pub const ON_ERROR: &str = "(error) ";

/// Replaces the Unix time at the start of each log line by `(time)`.
pub fn without_times(text: &str) -> String {
    let line = |line: &str| {
        let (mark, text) = line.strip_prefix(ON_ERROR).map_or(("", line), |text| (ON_ERROR, text));
        match text.split_once(' ') {
            Some((time, rest)) if is_time(time) => format!("{mark}(time) {rest}"),
            _ => line.to_string(),
        }
    };
    text.split('\n').map(line).collect::<Vec<_>>().join("\n")
}

/// Whether a word is a number of seconds with three decimal places and at least ten digits before them, as
/// Unix times have.
fn is_time(word: &str) -> bool {
    let digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    word.split_once('.')
        .is_some_and(|(whole, part)| whole.len() >= 10 && digits(whole) && part.len() == 3 && digits(part))
}

/// Splits a text into files. Each starts with a line `==== NAME`; the text before the first is a comment.
pub fn files(text: &str) -> Vec<(String, String)> {
    let mut files: Vec<(String, String)> = Vec::new();
    for line in text.split_inclusive('\n') {
        match (line.strip_prefix("==== "), files.last_mut()) {
            (Some(name), _) => files.push((name.trim_end().to_string(), String::new())),
            (None, Some((_, text))) => text.push_str(line),
            (None, None) => {}
        }
    }
    files
}

/// A temporary folder. It is removed when this is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder whose name contains this one.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("marlwinch-golden-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        TempFolder(path)
    }

    /// Writes a file into the folder.
    pub fn write(&self, name: &str, bytes: impl AsRef<[u8]>) {
        std::fs::write(self.0.join(name), bytes).expect("a file");
    }

    /// Writes the files of an input text (see [`files`]) into the folder, and returns their names.
    pub fn write_all(&self, inputs: &str) -> Vec<String> {
        let files = files(&read(inputs));
        files.iter().for_each(|(name, text)| self.write(name, text));
        files.into_iter().map(|(name, _)| name).collect()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the program and the lines of its log. It is killed when dropped.
pub struct LoggedProcess {
    child: Child,
    lines: std::sync::mpsc::Receiver<String>,
    received: Vec<String>,
    replaced: Vec<(String, String)>,
}

impl LoggedProcess {
    /// Starts a run. Its log has the lines of both streams; those of standard error have the prefix
    /// [`ON_ERROR`].
    pub fn start(run: &Run) -> Self {
        let mut child = run.start();
        let (sender, lines) = channel();
        let (out, error) = (child.stdout.take().expect("a stream"), child.stderr.take().expect("a stream"));
        let follow = |stream: Box<dyn std::io::Read + Send>, mark: &'static str| {
            let sender = sender.clone();
            std::thread::spawn(move || {
                for line in std::io::BufRead::lines(std::io::BufReader::new(stream)) {
                    let Ok(line) = line else { return };
                    let _ = sender.send(format!("{mark}{line}"));
                }
            });
        };
        follow(Box::new(out), "");
        follow(Box::new(error), ON_ERROR);
        LoggedProcess { child, lines, received: Vec::new(), replaced: run.replaced.clone() }
    }

    /// From now on replaces a text by a fixed word.
    pub fn replace(&mut self, what: impl Into<String>, word: &str) {
        self.replaced.push((what.into(), word.into()));
    }

    /// Waits for a line that contains this text, and removes it from the lines that were received.
    pub fn raw(&mut self, text: &str) -> String {
        let started = std::time::Instant::now();
        loop {
            if let Some(at) = self.received.iter().position(|line| line.contains(text)) {
                return self.received.remove(at);
            }
            let left = RUN_TIMEOUT.saturating_sub(started.elapsed());
            match self.lines.recv_timeout(left) {
                Ok(line) => self.received.push(line),
                Err(error) => panic!("no line with {text:?}: {error}; received {:#?}", self.received),
            }
        }
    }

    /// Like [`LoggedProcess::raw`], normalized and with the newline.
    pub fn line(&mut self, text: &str) -> String {
        let line = self.raw(text);
        self.normalized(&line) + "\n"
    }

    /// A line in which fixed words replace what differs from run to run.
    pub fn normalized(&self, line: &str) -> String {
        let replace = |text: String, (what, word): &(String, String)| text.replace(what, word);
        without_times(&self.replaced.iter().fold(line.to_string(), replace))
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        assert!(kill.expect("a shell").success());
    }

    /// Waits for the end of the process. Returns its exit code and the lines that were not taken.
    pub fn end(mut self) -> (Option<i32>, Vec<String>) {
        let started = std::time::Instant::now();
        let status = loop {
            if let Some(status) = self.child.try_wait().expect("its status") {
                break status;
            }
            assert!(started.elapsed() < RUN_TIMEOUT, "the process does not end");
            std::thread::sleep(Duration::from_millis(5));
        };
        let lines = std::mem::take(&mut self.received);
        (status.code(), lines.into_iter().chain(self.lines.iter()).collect())
    }
}

impl Drop for LoggedProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Replaces each number behind one of these prefixes by a word: `first_byte_ms=1.5` becomes
/// `first_byte_ms=(ms)`.
pub fn without_numbers(text: &str, prefixes: &[&str], word: &str) -> String {
    let mut text = text.to_string();
    for prefix in prefixes {
        let mut from = 0;
        while let Some(at) = text[from..].find(prefix) {
            let start = from + at + prefix.len();
            let is_part = |c: char| c.is_ascii_digit() || ".e-+".contains(c);
            let length = text[start..].find(|c| !is_part(c)).unwrap_or(text.len() - start);
            if length > 0 {
                text.replace_range(start..start + length, word);
            }
            from = start;
        }
    }
    text
}
