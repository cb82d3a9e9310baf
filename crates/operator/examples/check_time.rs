//! Prints how long it takes to check a rules file of 5,000 lines, its size, and the percentage that
//! it takes of the 1 MB of a value in the platform.

use std::time::Instant;

use operator::file;

const LINES: usize = 5_000;
const RUNS: usize = 9;

fn kind(number: usize) -> String {
    let (service, rank) = (number % 80, number % 8);
    format!(
        "{{\"kind\": {{\"name\": \"kind-{number}\", \"service\": \"service-{service}\", \
         \"path\": \"/v1/work-{number}/\", \"rank\": {rank}, \"deadline_ms\": 1500, \
         \"extra_attempts\": 2}}}} // asked by Ana Rojas, dispatch\n"
    )
}

fn customer(number: usize) -> String {
    format!(
        "{{\"customer\": {{\"name\": \"customer-{number}\", \"weight\": 20}}}} \
         // asked by Luis Prieto, sales\n"
    )
}

fn print_parse_time(label: &str, text: &str) {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            assert!(file::parse(text.as_bytes()).mistakes.is_empty());
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!(
        "{LINES} lines, {label}: {:.1} ms (median of {RUNS}), {} bytes, {:.0}% of 1 MB",
        times[RUNS / 2],
        text.len(),
        text.len() as f64 / 1e4,
    );
}

fn main() {
    print_parse_time("kinds only", &(0..LINES).map(kind).collect::<String>());
    let mixed = |number| {
        if number < LINES / 10 {
            kind(number)
        } else {
            customer(number)
        }
    };
    print_parse_time("1 in 10 a kind", &(0..LINES).map(mixed).collect::<String>());
}
