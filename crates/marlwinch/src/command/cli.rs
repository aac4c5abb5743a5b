//! The commands that are parsed with clap: the standalone proxy and its tools. [`system`](super::system) has
//! the commands of the distributed system.

use super::demo::{self, DemoArguments, DemoOutcome};
use super::exit::{FAILURE, INVALID_FILE, USAGE, fail};
use super::load::{self, LoadArguments, ReportValidity};
use super::overload::{OverloadArguments, explain_overload};
use super::trial::{self, TrialCommand};
use clap::{Parser, Subcommand};
use hyper::Method;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, InvalidHeaderName, InvalidHeaderValue};
use quick_error::quick_error;
use route_config::explain::{ExampleRequest, explain};
use standalone_proxy::file_node::diagnostics;
use standalone_proxy::file_node::run as file_node;
use standalone_proxy::file_node::source::{self as file_source, InvalidSource};
use standalone_proxy::platform_node::run as platform;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit code if no route matches the request of `explain`.
const NO_ROUTE: u8 = 4;
/// The exit code if the load generator fell behind its schedule, so that its report is not valid.
const INVALID_REPORT: u8 = 5;
/// The exit code if a rule was broken in the demonstration, or its report is not valid.
const RULE_BROKEN: u8 = 6;

const ABOUT: &str = concat!(
    "A load-balancing reverse proxy: selects a backend for each request by Join-Up-To(m), and handles ",
    "retries, overload, draining backends and slow start.\n\n",
    "Without a command it runs as the platform's node. ROUTER_CONFIG is the path of its configuration; ",
    "see README.md.",
);

const AFTER: &str = "\
Exit codes:
  0  success
  1  failure, such as a node that could not start or an output file that could not be written
  2  invalid command line, or an invalid load plan or report
  3  invalid node configuration file
  4  explain: no route matches the request
  5  load: the generator fell behind its schedule; the report has the reason and is not valid
  6  demo: a rule was broken, or the report is not valid

Exit codes of `trial`:
  0  passed
  1  violations found, or failure
  2  invalid command line, plan or history
  3  no verdict, as the machine was too slow

Examples:
  marlwinch check deploy/example.toml
  marlwinch explain deploy/example.toml POST /tally-submit/7f3a -H 'Idempotency-Key: 1'
  marlwinch explain deploy/example.toml --overload --rate 2000/s --cores 4
  marlwinch run deploy/example.toml
  marlwinch demo
  marlwinch load 127.0.0.1:8080 --rate 200 --for 10s
  marlwinch trial run stalled --report reports

Signals to a node: SIGHUP reloads its file, or keeps the current one if the new one is invalid. \
SIGTERM and SIGINT shut it down after all accepted requests have a response.

The node logs to standard error. MARLWINCH_LOG=debug logs each failed attempt.";

#[derive(Parser)]
#[command(name = "marlwinch", version, about = ABOUT, after_help = AFTER, max_term_width = 110)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

/// The commands. The doc comments of the variants and fields are the help text.
#[derive(Subcommand)]
enum Command {
    /// Run a demonstration on loopback: backends with failures, discovery, a node and load; then check four
    /// rules
    Demo(DemoArguments),
    /// Send load on an open-loop schedule, or compare two reports
    Load(LoadArguments),
    /// Test nodes with injected faults: run a plan with many processes of this program, and check what
    /// happened
    #[command(subcommand)]
    Trial(TrialCommand),
    /// Run a node with the backends that its configuration file lists
    Run {
        /// The node's configuration file (TOML); docs/operators/file.md describes every key
        file: PathBuf,
    },
    /// Check a node's configuration file: print each error with its location, its reason and a correction
    Check {
        /// The node's configuration file (TOML)
        file: PathBuf,
        /// Print the result as one JSON object to standard output
        #[arg(long)]
        json: bool,
    },
    /// Show how a node would handle a request: its route, class, limits and possible attempts; or, with
    /// --overload, which requests would be served and rejected during a surge
    Explain {
        /// The node's configuration file (TOML)
        file: PathBuf,
        /// Method of the request
        #[arg(required_unless_present = "overload")]
        method: Option<Method>,
        /// Path of the request, with or without a query, as a client sends it
        #[arg(required_unless_present = "overload")]
        path: Option<String>,
        /// Simulate a surge with the rate of --rate and the limits of the file, in virtual time
        #[arg(long, requires = "rate", conflicts_with_all = ["method", "path", "headers"])]
        overload: bool,
        #[command(flatten)]
        surge: OverloadArguments,
        /// Header field of the request, as `Name: value`; can be repeated
        #[arg(short = 'H', long = "header", value_name = "HEADER", value_parser = parse_header)]
        headers: Vec<(HeaderName, HeaderValue)>,
    },
}

quick_error! {
    /// Why an argument is not a header field.
    #[derive(Debug)]
    enum HeaderArgumentError {
        /// The argument has no colon between a name and a value.
        MissingColon {
            display("expected `Name: value`")
        }
        /// The text before the colon is not a field name.
        Name(error: InvalidHeaderName) {
            from()
            display("{error}")
            source(error)
        }
        /// The text after the colon is not a field value.
        Value(error: InvalidHeaderValue) {
            from()
            display("{error}")
            source(error)
        }
    }
}

fn parse_header(text: &str) -> Result<(HeaderName, HeaderValue), HeaderArgumentError> {
    let (name, value) = text.split_once(':').ok_or(HeaderArgumentError::MissingColon)?;
    let name = HeaderName::from_bytes(name.trim().as_bytes())?;
    let value = HeaderValue::from_str(value.trim())?;
    Ok((name, value))
}

/// Parses the command line and runs the command, or the platform's node if there is none.
pub fn main() -> ExitCode {
    match Arguments::parse().command {
        None => platform::main(),
        Some(Command::Demo(arguments)) => run_demo(&arguments),
        Some(Command::Load(arguments)) => run_load(arguments),
        Some(Command::Trial(command)) => trial::main(command),
        Some(Command::Run { file }) => run_file_node(&file),
        Some(Command::Check { file, json: true }) => check_as_json(&file),
        Some(Command::Check { file, json: false }) => check(&file),
        Some(Command::Explain { file, surge, overload: true, .. }) => explain_surge(&file, &surge),
        Some(Command::Explain { file, method: Some(method), path: Some(path), headers, .. }) => {
            explain_request(&file, &method, &path, headers)
        }
        Some(Command::Explain { .. }) => fail(&"explain needs a method and a path, or --overload", USAGE),
    }
}

fn run_demo(arguments: &DemoArguments) -> ExitCode {
    match demo::main(arguments) {
        Ok(DemoOutcome::Passed) => ExitCode::SUCCESS,
        Ok(DemoOutcome::Failed) => ExitCode::from(RULE_BROKEN),
        Err(error) => fail(&error, FAILURE),
    }
}

fn run_load(arguments: LoadArguments) -> ExitCode {
    match load::main(arguments) {
        Ok(ReportValidity::Valid) => ExitCode::SUCCESS,
        Ok(ReportValidity::Invalid) => ExitCode::from(INVALID_REPORT),
        Err(error) => fail(&error, error.exit_code()),
    }
}

fn run_file_node(file: &Path) -> ExitCode {
    match file_node::run(file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(file_node::RunError::InvalidFile(rejected)) => print_diagnostics(file, &rejected),
        // Queued log lines have been written by now, unless nobody reads them.
        Err(file_node::RunError::Failed(problem)) => fail(&problem, FAILURE),
    }
}

/// Writes the diagnostics of an operator's file to standard error, and returns the exit code.
fn print_diagnostics(file: &Path, rejected: &InvalidSource) -> ExitCode {
    eprint!("{}", diagnostics::text(file, rejected));
    ExitCode::from(INVALID_FILE)
}

fn check(file: &Path) -> ExitCode {
    match file_source::load(file) {
        Ok(_) => ExitCode::SUCCESS,
        Err(rejected) => print_diagnostics(file, &rejected),
    }
}

fn check_as_json(file: &Path) -> ExitCode {
    let rejected = file_source::load(file).err();
    println!("{}", diagnostics::json(file, rejected.as_ref()));
    if rejected.is_some() { ExitCode::from(INVALID_FILE) } else { ExitCode::SUCCESS }
}

fn explain_surge(file: &Path, surge: &OverloadArguments) -> ExitCode {
    let source = match file_source::load(file) {
        Ok(source) => source,
        Err(rejected) => return print_diagnostics(file, &rejected),
    };
    match explain_overload(&source.loaded.plan, surge) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error, USAGE),
    }
}

fn explain_request(
    file: &Path,
    method: &Method,
    path: &str,
    headers: Vec<(HeaderName, HeaderValue)>,
) -> ExitCode {
    let source = match file_source::load(file) {
        Ok(source) => source,
        Err(rejected) => return print_diagnostics(file, &rejected),
    };
    let mut header_map = HeaderMap::new();
    for (name, value) in headers {
        header_map.append(name, value);
    }
    let request = ExampleRequest { method, target: path, headers: &header_map };
    match explain(&source.loaded.plan, &source.loaded.file, &source.text, &request) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(NO_ROUTE)
        }
    }
}
