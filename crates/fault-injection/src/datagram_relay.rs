//! A UDP relay for one directed link: datagrams may be lost, duplicated, delayed and so reordered. All random
//! choices are drawn from a seed. The content is not parsed.

use crate::lock::lock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The size of the receive buffer, in bytes: at least that of the largest UDP datagram.
const MAX_DATAGRAM: usize = 64 << 10;

/// Loss, duplication and delay on a link. By default every datagram arrives exactly once, without a delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NetworkConditions {
    /// The share of datagrams that is lost, 0 to 1; 1 for a link that is down.
    pub loss: f64,
    /// The share of the datagrams that are not lost that arrives twice, 0 to 1.
    pub duplication: f64,
    /// The shortest delay.
    pub min_delay: Duration,
    /// The longest delay. Datagrams may be reordered if it differs from the shortest.
    pub max_delay: Duration,
}

impl NetworkConditions {
    /// Draws the delay of each copy of a datagram: none if it is lost, two if it is duplicated, otherwise
    /// one.
    fn draw_arrivals(&self, rng: &mut Pcg64Mcg) -> std::vec::IntoIter<Duration> {
        let copies = if rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            0
        } else if rng.random_bool(self.duplication.clamp(0.0, 1.0)) {
            2
        } else {
            1
        };
        let (min, max) = (self.min_delay, self.max_delay.max(self.min_delay));
        let delays: Vec<_> = (0..copies).map(|_| rng.random_range(min..=max)).collect();
        delays.into_iter()
    }
}

/// A relayed link for datagrams in one direction. Dropping it stops it; datagrams in flight are lost.
pub struct DatagramRelay {
    /// The address that the sender sends to.
    pub address: SocketAddr,
    conditions: Arc<Mutex<NetworkConditions>>,
    _task: JoinSet<()>,
}

impl DatagramRelay {
    /// Starts a relay to a target, with the default conditions.
    ///
    /// # Errors
    /// No port of loopback can be bound.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let conditions = Arc::new(Mutex::new(NetworkConditions::default()));
        let mut task = JoinSet::new();
        task.spawn(forward(socket, target, conditions.clone(), seed));
        Ok(DatagramRelay { address, conditions, _task: task })
    }

    /// Sets the conditions for datagrams received from now on. Those in flight keep the delays drawn for
    /// them.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        *lock(&self.conditions) = conditions;
    }
}

async fn forward(
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    conditions: Arc<Mutex<NetworkConditions>>,
    seed: u64,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut in_flight = JoinSet::new();
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let arrivals = lock(&conditions).draw_arrivals(&mut rng);
        for delay in arrivals {
            let (socket, bytes) = (socket.clone(), buffer[..length].to_vec());
            in_flight.spawn(async move {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                // An error is ignored: datagrams to a target that is down are lost, as in a network.
                let _ = socket.send_to(&bytes, target).await;
            });
        }
        while in_flight.try_join_next().is_some() {}
    }
}

#[cfg(test)]
mod tests;
