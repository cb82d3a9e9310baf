//! Guards against floods of log lines, and against events that the operators' page does not
//! explain.

use std::path::Path;
use std::time::{Duration, Instant};

use super::{LINES_PER_SECOND, LogLimiter};

#[test]
fn lines_of_an_event_are_limited_in_each_second() {
    let limiter = LogLimiter::default();
    let now = Instant::now();
    let allowed = |at| {
        (0..1_000)
            .filter(|_| limiter.allows(at, "call_refused"))
            .count()
    };
    assert_eq!(allowed(now), LINES_PER_SECOND as usize);
    assert_eq!(
        allowed(now + Duration::from_secs(1)),
        LINES_PER_SECOND as usize
    );
    assert!(limiter.allows(now, "gate_refused"));
}

#[test]
fn the_operators_page_explains_every_event() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("../../docs/OPERATIONS.md")).unwrap();
    let mut events = 0;
    for file in std::fs::read_dir(root.join("src")).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|extension| extension != "rs") {
            continue;
        }
        let source = std::fs::read_to_string(&path).unwrap();
        for part in source.split("event = \"").skip(1) {
            let event = part.split('"').next().unwrap();
            assert!(page.contains(&format!("`{event}`")), "{event} in {path:?}");
            events += 1;
        }
    }
    assert!(events > 20, "{events}");
}
