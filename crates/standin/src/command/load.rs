//! `standin load`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use clap::ArgMatches;
use standin::load::Plan;
use standin::report;
use standin::scenario::{Error, read_jsonc};
use standin::target::{RoundRobin, Target};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let file = super::path(matches, "file").expect("argument is required");
    let plan: Plan = read_jsonc(file)?;
    let daemons = matches
        .get_many::<SocketAddr>("to")
        .expect("argument is required");
    let target = Arc::new(Target::Daemons(RoundRobin::new(daemons.copied().collect())));
    // A phase that changes a rate counts as disturbed.
    let disturbed: Vec<_> = plan
        .phases
        .iter()
        .map(|phase| !phase.factors.is_empty())
        .collect();
    let results = standin::load::run(plan, target, None, Instant::now()).await;
    print!("{}", report::table(&results, &disturbed, None));
    super::write_json(matches, &report::json_lines(&results, &disturbed, None))
}
