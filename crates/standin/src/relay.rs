//! TCP relay that can stall or close its open connections while new ones work.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::endpoint::loopback;

#[cfg(test)]
mod tests;

/// Injected faults: each affects the connections with a number up to its bound.
#[derive(Clone, Copy, Debug, Default)]
struct FaultBounds {
    silent: u64,
    cut: u64,
}

/// A running relay. It stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    accepted: Arc<AtomicU64>,
    bounds: watch::Sender<FaultBounds>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts forwarding connections from a free port to `target`.
    ///
    /// # Errors
    ///
    /// The error of the operating system if no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let address = listener.local_addr()?;
        let accepted = Arc::new(AtomicU64::new(0));
        let (bounds, receiver) = watch::channel(FaultBounds::default());
        let task = tokio::spawn(accept(listener, target, Arc::clone(&accepted), receiver));
        Ok(Self {
            address,
            accepted,
            bounds,
            task,
        })
    }

    /// Address that accepts connections.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted since the start.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Stops forwarding on the currently open connections, without closing them.
    pub fn silence_open(&self) {
        let last = self.accepted();
        self.bounds.send_modify(|bounds| bounds.silent = last);
    }

    /// Closes the currently open connections.
    pub fn cut_open(&self) {
        let last = self.accepted();
        self.bounds.send_modify(|bounds| bounds.cut = last);
    }

    /// Closes the currently open connections and accepts no new ones.
    pub fn close(&self) {
        self.task.abort();
        self.cut_open();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    accepted: Arc<AtomicU64>,
    bounds: watch::Receiver<FaultBounds>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            connection = listener.accept() => {
                if let Ok((stream, _)) = connection {
                    let number = accepted.fetch_add(1, Ordering::Relaxed) + 1;
                    connections.spawn(forward(stream, target, number, bounds.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(
    mut client: TcpStream,
    target: SocketAddr,
    number: u64,
    mut bounds: watch::Receiver<FaultBounds>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let mut cut_bounds = bounds.clone();
    let cut = async {
        cut_bounds
            .wait_for(|bounds| number <= bounds.cut)
            .await
            .is_ok()
    };
    let silence = async {
        bounds
            .wait_for(|bounds| number <= bounds.silent)
            .await
            .is_ok()
    };
    let forwarding = async {
        // The biased order forwards no byte that arrives after the bound was set.
        let silent = tokio::select! {
            biased;
            silent = silence => silent,
            _ = copy_bidirectional(&mut client, &mut server) => false,
        };
        if silent {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        biased;
        _ = cut => {}
        () = forwarding => {}
    }
}
