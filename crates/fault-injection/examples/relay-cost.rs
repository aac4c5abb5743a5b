//! Measures the latency that a relay adds to an exchange, its throughput, and how many connections it holds:
//! `cargo run --release -p fault-injection --example relay-cost`.

use fault_injection::relay::Relay;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const EXCHANGES: usize = 20_000;
const BYTES: usize = 512 << 20;
const CONNECTIONS: usize = 2000;

/// Starts a server that echoes all bytes.
async fn start_echo_server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    Ok(address)
}

/// The median and the 99th percentile of the latency of a 64-byte exchange.
async fn exchange_latency(address: SocketAddr) -> std::io::Result<(Duration, Duration)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut times = Vec::with_capacity(EXCHANGES);
    let mut echoed = [0; 64];
    for _ in 0..EXCHANGES {
        let start = Instant::now();
        stream.write_all(&[7; 64]).await?;
        stream.read_exact(&mut echoed).await?;
        times.push(start.elapsed());
    }
    times.sort_unstable();
    Ok((times[EXCHANGES / 2], times[EXCHANGES * 99 / 100]))
}

/// The throughput of echoed bytes, in MB/s.
async fn throughput(address: SocketAddr) -> std::io::Result<f64> {
    let stream = TcpStream::connect(address).await?;
    let (mut from, mut to) = stream.into_split();
    let start = Instant::now();
    let writing = tokio::spawn(async move {
        let chunk = vec![7; 256 << 10];
        for _ in 0..BYTES / chunk.len() {
            to.write_all(&chunk).await?;
        }
        to.shutdown().await
    });
    let (mut received, mut buffer) = (0, vec![0; 256 << 10]);
    loop {
        match from.read(&mut buffer).await? {
            0 => break,
            n => received += n,
        }
    }
    writing.await??;
    assert_eq!(received, BYTES);
    Ok(received as f64 / 1e6 / start.elapsed().as_secs_f64())
}

fn main() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let direct = start_echo_server().await?;
        let relay = Relay::start(direct, || {}).await?;
        for (name, address) in [("direct", direct), ("through a relay", relay.address)] {
            let (p50, p99) = exchange_latency(address).await?;
            let rate = throughput(address).await?;
            println!("{name}: p50 {p50:?}, p99 {p99:?}, {rate:.0} MB/s");
        }
        let mut open = Vec::new();
        for _ in 0..CONNECTIONS {
            let mut stream = TcpStream::connect(relay.address).await?;
            stream.write_all(b"x").await?;
            open.push(stream);
        }
        for stream in &mut open {
            stream.read_exact(&mut [0]).await?;
        }
        println!("{} concurrent connections through one relay", open.len());
        Ok(())
    })
}
