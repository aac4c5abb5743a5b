//! Boxes that count what they run by the request's id, and fail as they are told to: on loopback, a thread for each
//! connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a box does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Runs it and answers.
    None,
    /// Runs it and answers 500.
    Error,
    /// Turns it away unseen.
    Unprocessed,
    /// Breaks the connection before the request has been read.
    ResetBefore,
    /// Runs it and breaks the connection.
    ResetAfter,
    /// Runs it and says nothing for longer than anybody waits.
    Stall,
    /// Runs it and answers what can't be read.
    Garbage,
}

/// A request that a box has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub who: usize,
    pub target: String,
    pub key: Option<String>,
}

/// What all boxes of a test have run, by id.
#[derive(Default)]
pub struct Ledger(Mutex<HashMap<String, Vec<Run>>>);

impl Ledger {
    pub fn runs(&self, id: &str) -> Vec<Run> {
        self.0.lock().expect("the ledger").get(id).cloned().unwrap_or_default()
    }
    pub fn all(&self) -> HashMap<String, Vec<Run>> {
        self.0.lock().expect("the ledger").clone()
    }
}

type Choose = dyn Fn(u64) -> Fault + Send + Sync;

/// A box.
pub struct Counting {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Counting {
    /// A box with a number of its own, which asks `choose` with the number of each request that reaches it.
    pub fn start(
        who: usize,
        ledger: Arc<Ledger>,
        choose: impl Fn(u64) -> Fault + Send + Sync + 'static,
    ) -> Counting {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (ended, count, choose) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Arc::new(choose) as Arc<Choose>);
        let over = ended.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (ledger, choose, count, over) =
                    (ledger.clone(), choose.clone(), count.clone(), over.clone());
                std::thread::spawn(move || serve(who, stream, &ledger, &*choose, &count, &over));
            }
        });
        Counting { address, ended }
    }
}

impl Drop for Counting {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

/// Closes a connection so that the other side sees it break.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn serve(
    who: usize,
    stream: TcpStream,
    ledger: &Ledger,
    choose: &Choose,
    count: &AtomicU64,
    over: &AtomicBool,
) {
    let Ok(mut out) = stream.try_clone() else { return };
    let _ = out.set_nodelay(true);
    let mut input = BufReader::new(stream);
    loop {
        let mut first = String::new();
        if !input.read_line(&mut first).is_ok_and(|n| n > 0) {
            return;
        }
        let fault = choose(count.fetch_add(1, Ordering::Relaxed));
        if fault == Fault::ResetBefore {
            return reset(&out);
        }
        let (mut id, mut key, mut length) = (String::new(), None, 0);
        loop {
            let mut line = String::new();
            if !input.read_line(&mut line).is_ok_and(|n| n > 0) {
                return;
            }
            let Some((name, value)) = line.trim().split_once(':') else { break };
            match name.to_lowercase().as_str() {
                "x-correlation-id" => id = value.trim().to_string(),
                "idempotency-key" => key = Some(value.trim().to_string()),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        if input.read_exact(&mut body).is_err() {
            return;
        }
        if fault != Fault::Unprocessed {
            let target = first.split(' ').nth(1).unwrap_or_default().to_string();
            let run = Run { at: Instant::now(), who, target, key };
            ledger.0.lock().expect("the ledger").entry(id.clone()).or_default().push(run);
        }
        let answer = match fault {
            Fault::None => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()),
            Fault::Error => "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".into(),
            Fault::Unprocessed => "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into(),
            Fault::ResetAfter | Fault::ResetBefore => return reset(&out),
            Fault::Stall => {
                // Until the node has given up, or the test is over.
                let _ = out.set_read_timeout(Some(Duration::from_millis(100)));
                let mut byte = [0];
                while !over.load(Ordering::Relaxed) {
                    match out.read(&mut byte) {
                        Ok(0) => return,
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        _ => return,
                    }
                }
                return;
            }
            Fault::Garbage => "no answer at all\r\n\r\n".into(),
        };
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Numbers that look like chance and are the same each time.
pub fn mix(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
