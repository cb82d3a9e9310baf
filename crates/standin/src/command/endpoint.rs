//! `standin endpoint`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::ArgMatches;
use policy::clock::SystemClock;
use standin::endpoint::{Endpoint, Spec, loopback};
use standin::ledger::Ledger;
use standin::scenario::{Error, read_jsonc};
use standin::target::{RoundRobin, Target};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let spec = match super::path(matches, "file") {
        Some(file) => read_jsonc(file)?,
        None => Spec::default(),
    };
    let address = matches.get_one("listen").copied();
    let address: SocketAddr = address.unwrap_or_else(loopback);
    let daemon = matches.get_one::<SocketAddr>("daemon").copied();
    let target = match daemon {
        Some(daemon) => Target::Daemons(RoundRobin::new(vec![daemon])),
        None => Target::Endpoints(BTreeMap::new()),
    };
    let clock = Arc::new(SystemClock::new());
    let ledger = Arc::new(Ledger::default());
    let start = Endpoint::start(address, spec, clock, ledger, Arc::new(target)).await;
    let mut endpoint = start.map_err(Error::io(format!("listen on {address}")))?;
    if let Some(daemon) = daemon {
        endpoint = endpoint.with_daemon(daemon);
    }
    println!(
        "endpoint at {}, control at {}",
        endpoint.address(),
        endpoint.control_address()
    );
    super::wait_for_interrupt().await
}
