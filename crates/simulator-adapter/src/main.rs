//! The adapter as a process: reads batches from standard input and writes replies to standard output. An
//! error is reported in one line on standard error.
#![forbid(unsafe_code)]

use simulator_adapter::adapter::run;
use std::io::{self, BufReader};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut BufReader::with_capacity(1 << 16, io::stdin().lock()), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
