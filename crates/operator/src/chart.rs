//! Bar chart of the burn rates as SVG. Sizes are in pixels.

use std::fmt::{self, Write as _};

use policy::burn::{Report, Row};

#[cfg(test)]
mod tests;

const CHART_WIDTH: f64 = 760.0;
const LABELS_WIDTH: f64 = 180.0;
const VALUES_WIDTH: f64 = 80.0;
const TOP_MARGIN: f64 = 56.0;
const BAR_HEIGHT: f64 = 11.0;
const PAIR_HEIGHT: f64 = 34.0;
/// Space below the last pair, with the label of the line at burn 1.
const BOTTOM_MARGIN: f64 = 24.0;
/// Smallest burn rate at the right end of the axis, so that the line at 1 is always visible.
const MIN_AXIS_BURN: f64 = 2.0;
const SHORT_FILL: &str = "#c2410c";
const LONG_FILL: &str = "#1d4ed8";

/// Draws a pair of bars for each kind, the short window above the long one, and a line at burn 1,
/// the rate that spends the error budget exactly.
#[must_use]
pub fn svg(report: &Report, title: &str) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = draw(&mut text, report, title);
    text
}

fn draw(out: &mut String, report: &Report, title: &str) -> fmt::Result {
    let height = TOP_MARGIN + PAIR_HEIGHT * report.kinds.len() as f64 + BOTTOM_MARGIN;
    let peaks = report
        .kinds
        .iter()
        .map(|row| row.short.burn.max(row.long.burn));
    let scale = (CHART_WIDTH - LABELS_WIDTH - VALUES_WIDTH) / peaks.fold(MIN_AXIS_BURN, f64::max);
    let title = escape(title);
    writeln!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {CHART_WIDTH} {height}\" \
         width=\"{CHART_WIDTH}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\" \
         role=\"img\">"
    )?;
    writeln!(out, "<title>{title}</title>")?;
    writeln!(
        out,
        "<rect width=\"{CHART_WIDTH}\" height=\"{height}\" fill=\"#ffffff\"/>"
    )?;
    writeln!(
        out,
        "<text x=\"8\" y=\"20\" font-size=\"14\">{title}</text>"
    )?;
    draw_legend_entry(out, 8.0, SHORT_FILL, "5 min")?;
    draw_legend_entry(out, 78.0, LONG_FILL, "1 h")?;
    for (index, row) in report.kinds.iter().enumerate() {
        draw_pair(out, TOP_MARGIN + PAIR_HEIGHT * index as f64, scale, row)?;
    }
    let (x, end) = (LABELS_WIDTH + scale, height - BOTTOM_MARGIN + 4.0);
    writeln!(
        out,
        "<line x1=\"{x:.1}\" y1=\"{:.1}\" x2=\"{x:.1}\" y2=\"{end:.1}\" stroke=\"#111111\" \
         stroke-dasharray=\"4 3\"/>",
        TOP_MARGIN - 8.0
    )?;
    let label_y = end + 14.0;
    writeln!(
        out,
        "<text x=\"{x:.1}\" y=\"{label_y:.1}\" text-anchor=\"middle\">burn 1</text>"
    )?;
    writeln!(out, "</svg>")
}

fn draw_legend_entry(out: &mut String, x: f64, fill: &str, label: &str) -> fmt::Result {
    writeln!(
        out,
        "<rect x=\"{x}\" y=\"30\" width=\"{BAR_HEIGHT}\" height=\"{BAR_HEIGHT}\" fill=\"{fill}\"/>\
         <text x=\"{}\" y=\"40\">{label}</text>",
        x + BAR_HEIGHT + 5.0
    )
}

fn draw_pair(out: &mut String, y: f64, scale: f64, row: &Row) -> fmt::Result {
    let (name, middle) = (escape(&short_label(&row.name)), y + BAR_HEIGHT + 4.0);
    writeln!(
        out,
        "<text x=\"{}\" y=\"{middle:.1}\" text-anchor=\"end\">{name}</text>",
        LABELS_WIDTH - 8.0
    )?;
    let bars = [
        (y, SHORT_FILL, row.short.burn),
        (y + BAR_HEIGHT + 1.0, LONG_FILL, row.long.burn),
    ];
    for (y, fill, burn) in bars {
        let width = burn * scale;
        writeln!(
            out,
            "<rect x=\"{LABELS_WIDTH}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{BAR_HEIGHT}\" \
             fill=\"{fill}\"/><text x=\"{:.1}\" y=\"{:.1}\">{burn:.1}</text>",
            LABELS_WIDTH + width + 4.0,
            y + BAR_HEIGHT - 1.0
        )?;
    }
    Ok(())
}

/// Shortens a name to the width of the labels.
fn short_label(name: &str) -> String {
    const MAX_LABEL_CHARS: usize = 24;
    if name.chars().count() <= MAX_LABEL_CHARS {
        return name.to_owned();
    }
    let start = name.chars().take(MAX_LABEL_CHARS - 3);
    start.chain("...".chars()).collect()
}

/// Escapes a text for XML. Characters that XML 1.0 does not allow become U+FFFD.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&apos;"),
            '\u{fffe}' | '\u{ffff}' => escaped.push(char::REPLACEMENT_CHARACTER),
            c if c.is_control() && !matches!(c, '\t' | '\n') => {
                escaped.push(char::REPLACEMENT_CHARACTER);
            }
            c => escaped.push(c),
        }
    }
    escaped
}
