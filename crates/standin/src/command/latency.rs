//! `standin latency`

use std::fmt::Write as _;

use clap::ArgMatches;
use standin::latency::{MeasurementPlan, run as measure, table};
use standin::scenario::Error;

const DEFAULT_RATES: [f64; 3] = [1_000.0, 5_000.0, 20_000.0];

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let rates = matches.get_many::<f64>("rate");
    let plan = MeasurementPlan {
        rates: rates.map_or_else(|| DEFAULT_RATES.to_vec(), |rates| rates.copied().collect()),
        rounds: *matches.get_one("rounds").expect("argument has a default"),
        seconds: *matches.get_one("seconds").expect("argument has a default"),
    };
    let daemon = super::daemon_path(matches)?;
    let run = async |directory: &_| measure(&plan, Some(&daemon), directory).await;
    let rows = super::with_directory(matches, run).await?;
    print!("{}", table(&rows));
    let mut lines = String::new();
    for row in &rows {
        let line = serde_json::to_string(row).expect("row is serialisable");
        writeln!(lines, "{line}").expect("writing to a string does not fail");
    }
    super::write_json(matches, &lines)
}
