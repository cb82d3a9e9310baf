//! Accept loop of the listeners.

use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Passes each new connection to `serve` as long as the daemon runs. `name` identifies the listener
/// in the log.
pub async fn accept(listener: TcpListener, name: &'static str, mut serve: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                warn!(event = "accept_failed", listener = name, error:% = error; "");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
