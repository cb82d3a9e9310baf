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
        let base = if matches.get_flag("compare") {
            let base = standin::scenario::run(&scenario, None, directory).await?;
            print(&scenario, "none", &base);
            Some(base)
        } else {
            None
        };
        let own = standin::scenario::run(&scenario, daemon, directory).await?;
        Ok((base, own))
    };
    let (base, own) = super::with_directory(matches, run).await?;
    let control = if daemon.is_some() { "daemons" } else { "none" };
    print(&scenario, control, &own);
    let disturbed = scenario.disturbed_phases();
    if let Some(base) = base {
        print!(
            "{}",
            report::comparison(&base.results, &own.results, &disturbed)
        );
    }
    let lines = report::json_lines(&own.results, &disturbed, Some(&own.runs));
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
