//! `standin scenario`

use clap::ArgMatches;
use standin::report;
use standin::scenario::{Error, Scenario, ScenarioResults, read_jsonc};

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let file = super::path(matches, "file").expect("argument is required");
    let scenario: Scenario = read_jsonc(file)?;
    let uncontrolled = matches.contains_id("control");
    let daemon = super::daemon_path(matches)?;
    let daemon = (!uncontrolled).then_some(daemon.as_path());
    let run = async |directory: &_| {
        let baseline = if matches.get_flag("compare") {
            let baseline = standin::scenario::run(&scenario, None, directory).await?;
            print(&scenario, "none", &baseline);
            Some(baseline)
        } else {
            None
        };
        let outcome = standin::scenario::run(&scenario, daemon, directory).await?;
        Ok((baseline, outcome))
    };
    let (baseline, outcome) = super::with_directory(matches, run).await?;
    let control = if daemon.is_some() { "daemons" } else { "none" };
    print(&scenario, control, &outcome);
    let disturbed = scenario.disturbed_phases();
    if let Some(baseline) = baseline {
        print!(
            "{}",
            report::comparison(&baseline.results, &outcome.results, &disturbed)
        );
    }
    let lines = report::json_lines(&outcome.results, &disturbed, Some(&outcome.runs));
    super::write_json(matches, &lines)
}

fn print(scenario: &Scenario, control: &str, outcome: &ScenarioResults) {
    let disturbed = scenario.disturbed_phases();
    println!("\n{}, control: {control}", scenario.name);
    print!(
        "{}",
        report::table(&outcome.results, &disturbed, Some(&outcome.runs))
    );
    let calls = outcome.platform;
    println!(
        "  platform: {} reads, {} lists, {} writes, {} watches, {} lease calls",
        calls.reads, calls.lists, calls.writes, calls.watches, calls.leases
    );
}
