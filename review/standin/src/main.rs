//! Starts a deployment of the project's own programs on loopback, with stand-ins for platform, backends,
//! operator and clients, and checks a rule: case 1 or case 2 of the review. With `TROUBLE=0` the disruption is
//! left out.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod configuration_case;
mod fleet;
mod http;
mod limit_case;
mod record;
mod standins;

use fleet::Fleet;
use record::Record;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `contact_ms` of the deployment, and a second more: all machines have been in touch for as long.
const CALM: Duration = Duration::from_millis(4000);
/// How long the operator sends a configuration again without a clear answer.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, path] = arguments.as_slice() else { return usage() };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let verdict = match case.as_str() {
        "1" => configuration_case::run(root, has_trouble, &record),
        "2" => limit_case::run(root, has_trouble, &record),
        _ => return usage(),
    };
    let code = match &verdict {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    match verdict {
        Ok(count) => record.line(format!("breaks of the rule: {count}; exit code {code}")),
        Err(reason) => record.line(format!("the case could not run: {reason}")),
    }
    if let Err(error) = record.write(path) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

fn usage() -> ExitCode {
    eprintln!("usage: review-standin CASE REPOSITORY RECORD");
    ExitCode::from(2)
}

/// Sends a configuration as the operator does: again, to the next coordinator, until there is a clear answer.
fn replace(fleet: &Fleet, base: u64, document: &str, record: &Record) -> Result<u16, String> {
    let started = Instant::now();
    let headers = [("Content-Type", "application/json".to_string()), ("X-Base-Revision", base.to_string())];
    for coordinator in fleet.coordinators().iter().cycle() {
        if started.elapsed() > OPERATOR_PATIENCE {
            break;
        }
        match http::call(coordinator, "POST", "/api/Config.Replace", &headers, document.as_bytes()) {
            Ok((status, body)) if status < 500 && status != 408 && status != 429 => {
                let text = String::from_utf8_lossy(&body).into_owned();
                record.line(format!("operator: on base {base} to {coordinator}: {document}"));
                record.line(format!("operator: answer {status} {text}"));
                return Ok(status);
            }
            _ => sleep(Duration::from_millis(200)),
        }
    }
    Err("the operator got no clear answer".into())
}

fn wait_until_ready(fleet: &Fleet) -> Result<(), String> {
    let started = Instant::now();
    for readiness in fleet.readiness() {
        while !matches!(http::call(&readiness, "GET", "/api/ready", &[], b""), Ok((200, _))) {
            if started.elapsed() > Duration::from_secs(15) {
                return Err(format!("{readiness} is not ready"));
            }
            sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}
