//! Acceptance of connections.

use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Hands each connection to `serve` as long as the daemon runs. `name` stands in the log.
pub async fn accept(listener: TcpListener, name: &'static str, mut serve: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                warn!(event = "accept_failed", listener = name, error:% = error; "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
