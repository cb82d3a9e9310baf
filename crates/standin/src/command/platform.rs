//! `standin platform`

use std::net::SocketAddr;
use std::sync::Arc;

use clap::ArgMatches;
use policy::clock::SystemClock;
use standin::endpoint::loopback;
use standin::platform::Platform;
use standin::scenario::Error;

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let address = matches.get_one("listen").copied();
    let address: SocketAddr = address.unwrap_or_else(loopback);
    let start = Platform::start(address, Arc::new(SystemClock::new())).await;
    let platform = start.map_err(Error::io(format!("listen on {address}")))?;
    println!("platform at {}", platform.address());
    super::wait_for_interrupt().await
}
