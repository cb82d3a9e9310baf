use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::record_oversleep;

/// Guards against ordinary delays that count as stalls and so excuse a daemon, and against stalls
/// that are missed.
#[test]
fn only_a_long_oversleep_is_a_stall() {
    let stalls = Mutex::default();
    let start = Instant::now();
    record_oversleep(&stalls, start, start + Duration::from_millis(109));
    assert!(stalls.lock().unwrap().is_empty());
    record_oversleep(&stalls, start, start + Duration::from_millis(110));
    assert_eq!(stalls.lock().unwrap().len(), 1);
}
