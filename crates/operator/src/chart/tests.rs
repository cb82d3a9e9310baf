use expect_test::expect;
use policy::burn::Window;

use super::*;

fn row(name: &str, short: f64, long: f64) -> Row {
    let window = |burn| Window {
        burn,
        ..Window::default()
    };
    Row {
        name: name.into(),
        short: window(short),
        long: window(long),
        ..Row::default()
    }
}

/// Guards against names that break the SVG, and against bars that are not to the scale of the line
/// at burn 1.
#[test]
fn labels_are_escaped_and_bars_to_scale() {
    let report = Report {
        kinds: vec![
            row("a<b>&\"c'\u{1}", 10.0, 0.5),
            row("a-kind-with-a-rather-long-name", 0.0, 1.0),
        ],
        ..Report::default()
    };
    expect![[r##"
        <svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 760 148" width="760" height="148" font-family="sans-serif" font-size="12" role="img">
        <title>Burn &amp; more</title>
        <rect width="760" height="148" fill="#ffffff"/>
        <text x="8" y="20" font-size="14">Burn &amp; more</text>
        <rect x="8" y="30" width="11" height="11" fill="#c2410c"/><text x="24" y="40">5 min</text>
        <rect x="78" y="30" width="11" height="11" fill="#1d4ed8"/><text x="94" y="40">1 h</text>
        <text x="172" y="71.0" text-anchor="end">a&lt;b&gt;&amp;&quot;c&apos;�</text>
        <rect x="180" y="56.0" width="500.0" height="11" fill="#c2410c"/><text x="684.0" y="66.0">10.0</text>
        <rect x="180" y="68.0" width="25.0" height="11" fill="#1d4ed8"/><text x="209.0" y="78.0">0.5</text>
        <text x="172" y="105.0" text-anchor="end">a-kind-with-a-rather-...</text>
        <rect x="180" y="90.0" width="0.0" height="11" fill="#c2410c"/><text x="184.0" y="100.0">0.0</text>
        <rect x="180" y="102.0" width="50.0" height="11" fill="#1d4ed8"/><text x="234.0" y="112.0">1.0</text>
        <line x1="230.0" y1="48.0" x2="230.0" y2="128.0" stroke="#111111" stroke-dasharray="4 3"/>
        <text x="230.0" y="142.0" text-anchor="middle">burn 1</text>
        </svg>
    "##]].assert_eq(&svg(&report, "Burn & more"));
}
