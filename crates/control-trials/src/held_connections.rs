//! Clients that keep their connections open and use them until the process at the other end closes them or is
//! gone, whatever signal it has got. What they receive is not judged; that they disturb nobody is.

use crate::document::{HOST, TestRequest};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The pause before the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// How many requests are written at once where they are pipelined.
const PIPELINED: usize = 4;
/// The size of a body that is sent in pieces, in bytes.
const BODY_BYTES: usize = 64 << 10;
/// The size of such a piece, in bytes.
const PIECE_BYTES: usize = 4 << 10;
/// The size of a read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsagePattern {
    /// A request every few tens of milliseconds.
    Steady,
    /// Several requests at once, without waiting for responses.
    Pipelined,
    /// A request every few seconds, so that the connection is mostly idle.
    Sporadic,
    /// The head of a request in two parts, with a pause between them.
    SplitHead,
    /// A request with a body in pieces.
    SlowBody,
    /// Nothing is sent, and the connection is opened again once it is closed.
    Silent,
}

impl UsagePattern {
    /// All patterns.
    pub const ALL: [UsagePattern; 6] = [
        UsagePattern::Steady,
        UsagePattern::Pipelined,
        UsagePattern::Sporadic,
        UsagePattern::SplitHead,
        UsagePattern::SlowBody,
        UsagePattern::Silent,
    ];
}

/// Keeps a connection to a frontend in use, and opens another one once it has ended, until the task is dropped.
pub async fn hold(address: SocketAddrV4, pattern: UsagePattern, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            let (reader, writer) = stream.into_split();
            // The connection is over once it can't be read or written.
            tokio::select! {
                () = read_to_end(reader) => {}
                _ = use_connection(writer, pattern, &mut random) => {}
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn read_to_end(mut reader: OwnedReadHalf) {
    let mut buffer = [0; READ_BYTES];
    while reader.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}

/// Sends requests until that fails.
async fn use_connection(
    mut writer: OwnedWriteHalf,
    pattern: UsagePattern,
    random: &mut Pcg64Mcg,
) -> io::Result<()> {
    loop {
        match pattern {
            UsagePattern::Steady => pause(random, 20..80).await,
            UsagePattern::Pipelined | UsagePattern::SplitHead => pause(random, 100..600).await,
            UsagePattern::Sporadic | UsagePattern::SlowBody => pause(random, 500..4000).await,
            UsagePattern::Silent => std::future::pending().await,
        }
        match pattern {
            UsagePattern::Pipelined => {
                writer.write_all(head(random, "").repeat(PIPELINED).as_bytes()).await?
            }
            UsagePattern::SplitHead => {
                let head = head(random, "");
                let (first, second) = head.split_at(random.random_range(1..head.len()));
                writer.write_all(first.as_bytes()).await?;
                pause(random, 1..400).await;
                writer.write_all(second.as_bytes()).await?;
            }
            UsagePattern::SlowBody => send_slow_body(&mut writer, random).await?,
            _ => writer.write_all(head(random, "").as_bytes()).await?,
        }
    }
}

async fn send_slow_body(writer: &mut OwnedWriteHalf, random: &mut Pcg64Mcg) -> io::Result<()> {
    writer.write_all(head(random, &format!("content-length: {BODY_BYTES}\r\n")).as_bytes()).await?;
    for _ in 0..BODY_BYTES / PIECE_BYTES {
        writer.write_all(&[b'x'; PIECE_BYTES]).await?;
        pause(random, 1..60).await;
    }
    Ok(())
}

async fn pause(random: &mut Pcg64Mcg, milliseconds: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(random.random_range(milliseconds))).await;
}

/// The head of a request that every version of the configuration allows, with further fields.
fn head(random: &mut Pcg64Mcg, fields: &str) -> String {
    let request = TestRequest::Lasting;
    format!(
        "GET {} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: held-{:016x}\r\nx-deadline-ms: 2500\r\n\
         authorization: Token {}\r\n{fields}\r\n",
        request.path(),
        random.random::<u64>(),
        request.key()
    )
}
