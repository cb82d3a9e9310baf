//! Tables and JSON lines of a run.
//!
//! A phase is disturbed if it has faults, VM events or changed rates. The first phase is the
//! reference for the others.

use std::fmt::Write as _;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::ledger::RunSummary;
use crate::load::{ClassResult, LoadResults, PhaseStats, SecondStats};

#[cfg(test)]
mod tests;

/// Fraction of the success rate of the first phase at which a class counts as recovered.
const RECOVERED_FRACTION: f64 = 0.95;
/// Consecutive seconds that a class must stay recovered.
const MIN_STABLE_SECONDS: usize = 2;

/// Latency percentiles of served calls, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

impl Latency {
    /// Returns the percentiles of a histogram in microseconds.
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

/// Results of one class in one phase.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the phase.
    pub phase: String,
    /// Name of the class.
    pub class: String,
    /// Rank of the class.
    pub rank: u8,
    /// Calls scheduled.
    pub offered: u64,
    /// Calls served completely and in time.
    pub served: u64,
    /// Calls served completely but too late.
    pub late: u64,
    /// Calls that did not run.
    pub not_run: u64,
    /// Calls that ran without a useful response.
    pub ran: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls with a wrong response body.
    pub wrong: u64,
    /// Calls not sent, because too many were in flight.
    pub unsent: u64,
    /// Requests sent, including resends.
    pub attempts: u64,
    /// Calls served completely and in time per second of the phase.
    pub goodput: f64,
    /// Success rate divided by that of the first phase.
    pub kept: f64,
    /// Latencies of the served calls, including late ones.
    pub latency: Latency,
}

impl Row {
    fn new(phase: &str, seconds: f64, result: &ClassResult, stats: &PhaseStats) -> Self {
        let reference_rate = result.phases.first().map_or(1.0, PhaseStats::success_rate);
        Self {
            phase: phase.to_owned(),
            class: result.class.name.clone(),
            rank: result.class.rank,
            offered: stats.offered,
            served: stats.served,
            late: stats.late,
            not_run: stats.not_run,
            ran: stats.ran,
            unknown: stats.unknown,
            wrong: stats.wrong,
            unsent: stats.unsent,
            attempts: stats.attempts,
            goodput: stats.served as f64 / seconds,
            kept: if reference_rate > 0.0 {
                stats.success_rate() / reference_rate
            } else {
                0.0
            },
            latency: Latency::new(&stats.latency),
        }
    }
}

/// Recovery of one class after a disturbed phase.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Recovery {
    /// Name of the disturbed phase.
    pub after: String,
    /// Name of the class, `all` for all classes together.
    pub class: String,
    /// Whole seconds from the end of the disturbed phase to the first of two consecutive seconds
    /// with at least 95% of the success rate of the first phase. `None` if there were none before
    /// the next phase.
    pub seconds: Option<usize>,
}

/// Returns the rows in the order of phases, and by rank within a phase.
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

/// Returns the recoveries after the phases that `disturbed` marks.
#[must_use]
pub fn recoveries(results: &LoadResults, disturbed: &[bool]) -> Vec<Recovery> {
    let mut recoveries = Vec::new();
    let mut start = 0.0;
    for (index, phase) in results.plan.phases.iter().enumerate() {
        let end = start + phase.seconds;
        let is_disturbed = |index: usize| disturbed.get(index).copied().unwrap_or(false);
        if index > 0 && is_disturbed(index - 1) && !is_disturbed(index) {
            let range = start.ceil() as usize..end.floor() as usize;
            let after = &results.plan.phases[index - 1].name;
            let total = sum_by_second(results.classes.iter().map(|result| &*result.seconds));
            let reference_end = results.plan.phases[0].seconds.floor() as usize;
            let mut add_recovery = |class: &str, seconds: &[SecondStats]| {
                let reference_rate = success_rate(seconds.get(..reference_end).unwrap_or(seconds));
                recoveries.push(Recovery {
                    after: after.clone(),
                    class: class.to_owned(),
                    seconds: seconds_to_recovery(
                        seconds.get(range.clone()).unwrap_or_default(),
                        reference_rate,
                    ),
                });
            };
            add_recovery("all", &total);
            for result in &results.classes {
                add_recovery(&result.class.name, &result.seconds);
            }
        }
        start = end;
    }
    recoveries
}

fn sum_by_second<'a>(classes: impl Iterator<Item = &'a [SecondStats]>) -> Vec<SecondStats> {
    let mut total: Vec<SecondStats> = Vec::new();
    for seconds in classes {
        total.resize(total.len().max(seconds.len()), SecondStats::default());
        for (sum, second) in total.iter_mut().zip(seconds) {
            sum.offered += second.offered;
            sum.served += second.served;
            sum.goodput += second.goodput;
        }
    }
    total
}

fn success_rate(seconds: &[SecondStats]) -> f64 {
    let offered: u32 = seconds.iter().map(|second| second.offered).sum();
    let served: u32 = seconds.iter().map(|second| second.served).sum();
    if offered == 0 {
        return 1.0;
    }
    f64::from(served) / f64::from(offered)
}

fn seconds_to_recovery(seconds: &[SecondStats], reference_rate: f64) -> Option<usize> {
    let windows = seconds.windows(MIN_STABLE_SECONDS);
    let recovered = |window: &[SecondStats]| {
        let mut seconds = window.iter();
        seconds.all(|second| success_rate(&[*second]) >= RECOVERED_FRACTION * reference_rate)
    };
    windows.map(recovered).position(|recovered| recovered)
}

/// Formats the results as human-readable tables.
#[must_use]
pub fn table(results: &LoadResults, disturbed: &[bool], runs: Option<&RunSummary>) -> String {
    let mut text = String::new();
    let mut phase = None;
    for row in rows(results) {
        if phase.as_ref() != Some(&row.phase) {
            push_line(&mut text, &format!("\n{}", row.phase));
            push_line(&mut text, TABLE_HEADING);
        }
        push_line(&mut text, &format_row(&row));
        phase = Some(row.phase);
    }
    push_line(
        &mut text,
        "\nrecovery in seconds after the end of a disturbance",
    );
    for recovery in recoveries(results, disturbed) {
        let seconds = recovery.seconds;
        let seconds = seconds.map_or("not recovered".to_owned(), |seconds| seconds.to_string());
        push_line(
            &mut text,
            &format!("  {:27} {:14} {seconds}", recovery.after, recovery.class),
        );
    }
    push_line(&mut text, "\nchecks");
    let false_not_run = results.not_run_but_ran;
    let false_not_run = false_not_run.map_or("not checked".to_owned(), |count| count.to_string());
    let wrong: usize = results
        .classes
        .iter()
        .map(|class| class.body_errors.len())
        .sum();
    push_line(
        &mut text,
        &format!("  refused as not run but ran: {false_not_run}"),
    );
    push_line(&mut text, &format!("  wrong answers: {wrong}"));
    if let Some(runs) = runs {
        push_line(
            &mut text,
            &format!("  runs: {}, keys: {}", runs.runs, runs.keys),
        );
        let late = runs.after_leaving;
        push_line(
            &mut text,
            &format!("  calls to a leaving endpoint after 3 s: {late}"),
        );
        push_line(
            &mut text,
            &format!("  runs of a key after its first: {}", runs.repeats),
        );
        for key in &runs.repeated {
            push_line(&mut text, &format!("    {key}"));
        }
    }
    text
}

const TABLE_HEADING: &str = "  rank class          offered  served%  late%  not-run%  ran%   unknown%  wrong \
                       unsent  goodput/s  kept%    p50 ms    p99 ms  p99.9 ms";

fn format_row(row: &Row) -> String {
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

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}

/// Formats the comparison of a run with the baseline of the same invocation, by phase and class.
#[must_use]
pub fn comparison(baseline: &LoadResults, results: &LoadResults, disturbed: &[bool]) -> String {
    let mut text = String::new();
    push_line(&mut text, "\nrelation to the baseline in the same run");
    push_line(&mut text, COMPARISON_HEADING);
    for (baseline, own) in rows(baseline).iter().zip(rows(results)) {
        let ratio = |baseline: f64, own: f64| {
            if baseline > 0.0 {
                own / baseline
            } else {
                f64::NAN
            }
        };
        let goodput = ratio(baseline.goodput, own.goodput);
        let p99 = ratio(baseline.latency.p99, own.latency.p99);
        let line = format!(
            "  {:27} {:<4} {:14} {:>9.1} {:>9.1} {goodput:>7.2} {:>9.1} {:>9.1} {p99:>7.2}",
            own.phase,
            own.rank,
            own.class,
            baseline.goodput,
            own.goodput,
            baseline.latency.p99,
            own.latency.p99,
        );
        push_line(&mut text, &line);
    }
    push_line(&mut text, "\nrecovery in seconds, baseline and own");
    let own = recoveries(results, disturbed);
    let seconds = |recovery: &Recovery| {
        let seconds = recovery.seconds;
        seconds.map_or("none".to_owned(), |seconds| seconds.to_string())
    };
    for (baseline, own) in recoveries(baseline, disturbed).iter().zip(&own) {
        let (before, after) = (seconds(baseline), seconds(own));
        push_line(
            &mut text,
            &format!("  {:27} {:14} {before:>5} {after:>5}", own.after, own.class),
        );
    }
    text
}

const COMPARISON_HEADING: &str = "  phase                       rank class          \
                                  base good  own good   ratio  base p99   own p99   ratio";

/// One line of the JSON output.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
enum JsonLine<'a> {
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

/// Formats the results as JSON lines: classes by phase, counts by second, recoveries and checks.
///
/// # Panics
///
/// Panics if a line is not serialisable.
#[must_use]
pub fn json_lines(results: &LoadResults, disturbed: &[bool], runs: Option<&RunSummary>) -> String {
    let classes = rows(results).into_iter().map(JsonLine::Class);
    let series = results.classes.iter().flat_map(|result| {
        let seconds = result.seconds.iter().enumerate();
        seconds.map(|(second, counts)| JsonLine::Second {
            class: &result.class.name,
            second,
            counts: *counts,
        })
    });
    let recoveries = recoveries(results, disturbed)
        .into_iter()
        .map(JsonLine::Recovery);
    let checks = JsonLine::Checks {
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
        push_line(
            &mut text,
            &serde_json::to_string(&line).expect("line is serialisable"),
        );
    }
    text
}
