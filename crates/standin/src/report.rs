//! Tables and JSON lines of a run.

use std::fmt::Write as _;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::ledger::RunSummary;
use crate::load::{ClassResult, LoadResults, PhaseStats, SecondStats};

#[cfg(test)]
mod tests;

/// Part of the calm success at which a class counts as recovered.
const RECOVERED: f64 = 0.95;
/// Seconds in a row that a class must stay recovered.
const STABLE_SECONDS: usize = 2;

/// Latencies of calls served, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 99 calls in 100 are at most as slow.
    pub p99: f64,
    /// 999 calls in 1,000 are at most as slow.
    pub p999: f64,
}

impl Latency {
    /// Quantiles of a histogram in microseconds.
    #[must_use]
    pub fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
        }
    }
}

/// One class in one phase.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the phase.
    pub phase: String,
    /// Name of the class.
    pub class: String,
    /// Rank of the class.
    pub rank: u8,
    /// Calls due.
    pub offered: u64,
    /// Calls served whole and in time.
    pub served: u64,
    /// Calls served whole and too late.
    pub late: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls that ran without a useful answer.
    pub ran: u64,
    /// Calls of unknown outcome.
    pub unknown: u64,
    /// Calls with a wrong answer.
    pub wrong: u64,
    /// Calls not sent.
    pub unsent: u64,
    /// Requests sent, resends included.
    pub attempts: u64,
    /// Calls served whole and in time per second of the phase.
    pub goodput: f64,
    /// Success in relation to the first phase.
    pub kept: f64,
    /// Latencies of the calls served, late ones included.
    pub latency: Latency,
}

impl Row {
    fn new(phase: &str, seconds: f64, result: &ClassResult, tally: &PhaseStats) -> Self {
        let calm = result.phases.first().map_or(1.0, PhaseStats::success);
        Self {
            phase: phase.to_owned(),
            class: result.class.name.clone(),
            rank: result.class.rank,
            offered: tally.offered,
            served: tally.served,
            late: tally.late,
            not_run: tally.not_run,
            ran: tally.ran,
            unknown: tally.unknown,
            wrong: tally.wrong,
            unsent: tally.unsent,
            attempts: tally.attempts,
            goodput: tally.served as f64 / seconds,
            kept: if calm > 0.0 {
                tally.success() / calm
            } else {
                0.0
            },
            latency: Latency::new(&tally.latency),
        }
    }
}

/// Recovery of one class after a disturbed phase.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Recovery {
    /// Name of the disturbed phase.
    pub after: String,
    /// Name of the class, `all` for the sum.
    pub class: String,
    /// Whole seconds from the end of the disturbance to the first of two seconds in which the part
    /// of the calls served is back to 95% of the first phase. `None` if that did not happen before
    /// the next phase.
    pub seconds: Option<usize>,
}

/// Rows by phase, in each by rank.
#[must_use]
pub fn rows(results: &LoadResults) -> Vec<Row> {
    let mut classes: Vec<_> = results.classes.iter().collect();
    classes.sort_by_key(|result| result.class.rank);
    let phases = results.plan.phases.iter().enumerate();
    let rows = phases.flat_map(|(index, phase)| {
        classes
            .iter()
            .map(move |result| Row::new(&phase.name, phase.seconds, result, &result.phases[index]))
    });
    rows.collect()
}

/// Recoveries after the phases that `disturbed` marks.
#[must_use]
pub fn recoveries(results: &LoadResults, disturbed: &[bool]) -> Vec<Recovery> {
    let mut recoveries = Vec::new();
    let mut start = 0.0;
    for (index, phase) in results.plan.phases.iter().enumerate() {
        let end = start + phase.seconds;
        let ends = |index: usize| disturbed.get(index).copied().unwrap_or(false);
        if index > 0 && ends(index - 1) && !ends(index) {
            let range = start.ceil() as usize..end.floor() as usize;
            let after = &results.plan.phases[index - 1].name;
            let whole = sum(results.classes.iter().map(|result| &*result.seconds));
            let calm_end = results.plan.phases[0].seconds.floor() as usize;
            let mut add = |class: &str, seconds: &[SecondStats]| {
                let calm = success(seconds.get(..calm_end).unwrap_or(seconds));
                recoveries.push(Recovery {
                    after: after.clone(),
                    class: class.to_owned(),
                    seconds: recovery(seconds.get(range.clone()).unwrap_or_default(), calm),
                });
            };
            add("all", &whole);
            for result in &results.classes {
                add(&result.class.name, &result.seconds);
            }
        }
        start = end;
    }
    recoveries
}

fn sum<'a>(classes: impl Iterator<Item = &'a [SecondStats]>) -> Vec<SecondStats> {
    let mut whole: Vec<SecondStats> = Vec::new();
    for seconds in classes {
        whole.resize(whole.len().max(seconds.len()), SecondStats::default());
        for (total, second) in whole.iter_mut().zip(seconds) {
            total.offered += second.offered;
            total.served += second.served;
            total.goodput += second.goodput;
        }
    }
    whole
}

fn success(seconds: &[SecondStats]) -> f64 {
    let offered: u32 = seconds.iter().map(|second| second.offered).sum();
    let served: u32 = seconds.iter().map(|second| second.served).sum();
    if offered == 0 {
        return 1.0;
    }
    f64::from(served) / f64::from(offered)
}

fn recovery(seconds: &[SecondStats], calm: f64) -> Option<usize> {
    let windows = seconds.windows(STABLE_SECONDS);
    let recovered = |window: &[SecondStats]| {
        let mut seconds = window.iter();
        seconds.all(|second| success(&[*second]) >= RECOVERED * calm)
    };
    windows.map(recovered).position(|recovered| recovered)
}

/// Table for people.
#[must_use]
pub fn table(results: &LoadResults, disturbed: &[bool], runs: Option<&RunSummary>) -> String {
    let mut text = String::new();
    let mut phase = None;
    for row in rows(results) {
        if phase.as_ref() != Some(&row.phase) {
            add(&mut text, &format!("\n{}", row.phase));
            add(&mut text, HEADING);
        }
        add(&mut text, &line(&row));
        phase = Some(row.phase);
    }
    add(
        &mut text,
        "\nrecovery in seconds after the end of a disturbance",
    );
    for recovery in recoveries(results, disturbed) {
        let seconds = recovery.seconds;
        let seconds = seconds.map_or("not recovered".to_owned(), |seconds| seconds.to_string());
        add(
            &mut text,
            &format!("  {:27} {:14} {seconds}", recovery.after, recovery.class),
        );
    }
    add(&mut text, "\nchecks");
    let hidden = results.not_run_but_ran;
    let hidden = hidden.map_or("not checked".to_owned(), |count| count.to_string());
    let wrong: usize = results
        .classes
        .iter()
        .map(|class| class.body_errors.len())
        .sum();
    add(
        &mut text,
        &format!("  refused as not run but ran: {hidden}"),
    );
    add(&mut text, &format!("  wrong answers: {wrong}"));
    if let Some(runs) = runs {
        add(
            &mut text,
            &format!("  runs: {}, keys: {}", runs.runs, runs.keys),
        );
        let late = runs.after_leaving;
        add(
            &mut text,
            &format!("  calls to a leaving endpoint after 3 s: {late}"),
        );
        add(
            &mut text,
            &format!("  runs of a key after its first: {}", runs.repeats),
        );
        for key in &runs.repeated {
            add(&mut text, &format!("    {key}"));
        }
    }
    text
}

const HEADING: &str = "  rank class          offered  served%  late%  not-run%  ran%   unknown%  wrong \
                       unsent  goodput/s  kept%    p50 ms    p99 ms  p99.9 ms";

fn line(row: &Row) -> String {
    let percent = |count: u64| 100.0 * count as f64 / (row.offered.max(1)) as f64;
    format!(
        "  {:<4} {:14} {:>7}  {:>7.1}  {:>5.1}  {:>8.1}  {:>4.1}  {:>8.1}  {:>5} {:>6}  {:>9.1}  {:>5.1}  {:>8.1}  {:>8.1}  {:>8.1}",
        row.rank,
        row.class,
        row.offered,
        percent(row.served),
        percent(row.late),
        percent(row.not_run),
        percent(row.ran),
        percent(row.unknown),
        row.wrong,
        row.unsent,
        row.goodput,
        row.kept * 100.0,
        row.latency.p50,
        row.latency.p99,
        row.latency.p999,
    )
}

fn add(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}

/// Table of a run in relation to the baseline of the same invocation, by phase and class.
#[must_use]
pub fn comparison(base: &LoadResults, results: &LoadResults, disturbed: &[bool]) -> String {
    let mut text = String::new();
    add(&mut text, "\nrelation to the baseline in the same run");
    add(&mut text, COMPARISON_HEADING);
    for (base, own) in rows(base).iter().zip(rows(results)) {
        let ratio = |base: f64, own: f64| if base > 0.0 { own / base } else { f64::NAN };
        let goodput = ratio(base.goodput, own.goodput);
        let p99 = ratio(base.latency.p99, own.latency.p99);
        let line = format!(
            "  {:27} {:<4} {:14} {:>9.1} {:>9.1} {goodput:>7.2} {:>9.1} {:>9.1} {p99:>7.2}",
            own.phase,
            own.rank,
            own.class,
            base.goodput,
            own.goodput,
            base.latency.p99,
            own.latency.p99,
        );
        add(&mut text, &line);
    }
    add(&mut text, "\nrecovery in seconds, baseline and own");
    let own = recoveries(results, disturbed);
    let seconds = |recovery: &Recovery| {
        let seconds = recovery.seconds;
        seconds.map_or("none".to_owned(), |seconds| seconds.to_string())
    };
    for (base, own) in recoveries(base, disturbed).iter().zip(&own) {
        let (before, after) = (seconds(base), seconds(own));
        add(
            &mut text,
            &format!("  {:27} {:14} {before:>5} {after:>5}", own.after, own.class),
        );
    }
    text
}

const COMPARISON_HEADING: &str = "  phase                       rank class          \
                                  base good  own good   ratio  base p99   own p99   ratio";

/// One line of JSON output.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
enum Line<'a> {
    Class(Row),
    Second {
        class: &'a str,
        second: usize,
        #[serde(flatten)]
        counts: SecondStats,
    },
    Recovery(Recovery),
    Checks {
        not_run_but_ran: Option<u64>,
        wrong: usize,
        runs: Option<&'a RunSummary>,
    },
}

/// One JSON object a line: classes by phase, the series by second, recoveries, checks.
///
/// # Panics
///
/// Panics if a line is not serialisable.
#[must_use]
pub fn json_lines(results: &LoadResults, disturbed: &[bool], runs: Option<&RunSummary>) -> String {
    let classes = rows(results).into_iter().map(Line::Class);
    let series = results.classes.iter().flat_map(|result| {
        let seconds = result.seconds.iter().enumerate();
        seconds.map(|(second, counts)| Line::Second {
            class: &result.class.name,
            second,
            counts: *counts,
        })
    });
    let recoveries = recoveries(results, disturbed)
        .into_iter()
        .map(Line::Recovery);
    let checks = Line::Checks {
        not_run_but_ran: results.not_run_but_ran,
        wrong: results
            .classes
            .iter()
            .map(|class| class.body_errors.len())
            .sum(),
        runs,
    };
    let lines = classes.chain(series).chain(recoveries).chain([checks]);
    let mut text = String::new();
    for line in lines {
        add(
            &mut text,
            &serde_json::to_string(&line).expect("line is serialisable"),
        );
    }
    text
}
