//! The stand-ins for the platform and for the backends.

use crate::http::{self, Message};
use crate::record::Record;
use std::fmt;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// What became of a client's request.
pub enum Outcome {
    /// This service ran it.
    Ran(String),
    /// It was answered with another status than 200.
    Status(u16),
    /// There was no answer, for this reason.
    NoAnswer(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Outcome::Ran(service) => write!(f, "200, run by {service}"),
            Outcome::Status(status) => write!(f, "{status}"),
            Outcome::NoAnswer(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

impl Outcome {
    /// The outcome of a call: a backend's body is the name of its service.
    pub fn of(answer: Result<(u16, Vec<u8>), String>) -> Self {
        match answer {
            Ok((200, body)) => Outcome::Ran(String::from_utf8_lossy(&body).into_owned()),
            Ok((status, _)) => Outcome::Status(status),
            Err(error) => Outcome::NoAnswer(error),
        }
    }
}

/// A backend as the platform lists it.
pub struct Backend {
    address: String,
    service: &'static str,
    instance: &'static str,
}

impl Backend {
    /// Starts a backend that answers each request with the name of its service.
    pub fn start(
        address: &str,
        service: &'static str,
        instance: &'static str,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let last_signature = AtomicU64::new(0);
        let record = record.clone();
        listen(address, move |mut stream| {
            while let Ok(Some(request)) = http::read(&mut stream) {
                let number = last_signature.fetch_add(1, Ordering::Relaxed);
                if answer(&mut stream, &request, service, instance, number, &record).is_err() {
                    return;
                }
            }
        })?;
        Ok(Backend { address: address.to_string(), service, instance })
    }

    fn entry(&self) -> String {
        let Backend { address, service, instance } = self;
        format!(
            r#"{{"instance_id":"{instance}","service":"{service}","address":"{address}","zone":"a","generation":"v1","slots":8,"state":"ready","cold_remaining_ms":0}}"#
        )
    }
}

/// Starts the platform, which lists these backends.
pub fn start_platform(address: &str, backends: Vec<Backend>) -> Result<(), String> {
    let entries: Vec<String> = backends.iter().map(Backend::entry).collect();
    let list = format!(r#"{{"instances":[{}],"next_page_token":null}}"#, entries.join(","));
    listen(address, move |mut stream| {
        while let Ok(Some(_)) = http::read(&mut stream) {
            let headers = [("Content-Type", "application/json".to_string())];
            if http::write(&mut stream, "HTTP/1.1 200 OK", &headers, list.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Serves each connection in a thread of its own.
fn listen(address: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    Ok(())
}

/// Answers one request, which runs unless it has no id or is meant for another instance.
fn answer(
    stream: &mut TcpStream,
    request: &Message,
    service: &str,
    instance: &str,
    number: u64,
    record: &Record,
) -> io::Result<()> {
    let Some(id) = request.header("x-request-id") else {
        let headers = [("X-Not-Executed", "1".to_string())];
        return http::write(stream, "HTTP/1.1 400 Bad Request", &headers, b"");
    };
    let id_header = ("X-Request-Id", id.to_string());
    if request.header("x-expected-instance").is_some_and(|expected| expected != instance) {
        return http::write(stream, "HTTP/1.1 421 Misdirected Request", &[id_header], b"");
    }
    record.line(format!("backend {instance} of {service} runs {id}"));
    let headers = [id_header, ("X-Response-Signature", format!("{instance}.{number}"))];
    http::write(stream, "HTTP/1.1 200 OK", &headers, service.as_bytes())
}
