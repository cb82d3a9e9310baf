//! Guards against a body of the largest allowed size that finds no room, bytes that are not given
//! back, and responses that wait forever behind others.

use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;

use super::{Budget, Kind, MAX_BODY_BYTES, SMALL_BODY_BYTES};

const LIMIT: usize = 124_000_000;

fn budget() -> Arc<Budget> {
    Budget::new(LIMIT)
}

#[test]
fn a_body_of_the_largest_size_fits_beside_others_and_only_one_does() {
    let budget = budget();
    let mut others = Vec::new();
    for _ in 0..100 {
        let mut grant = budget.grant(Kind::Request);
        if !grant.resize(1 << 20) {
            break;
        }
        others.push(grant);
    }
    assert!(budget.held() <= LIMIT);
    // The last of the others has taken the reserve.
    drop(others.pop());
    let mut largest = budget.grant(Kind::Response);
    assert!(largest.resize(MAX_BODY_BYTES));
    let mut second = budget.grant(Kind::Request);
    assert!(!second.resize(MAX_BODY_BYTES));
    let mut small = budget.grant(Kind::Request);
    assert!(small.resize(SMALL_BODY_BYTES));
    assert!(budget.held() <= LIMIT);
    assert!(budget.take_shortage() >= MAX_BODY_BYTES);
    drop((others, largest, second, small));
    assert_eq!(budget.held(), 0);
    assert_eq!(budget.take_shortage(), 0);
}

#[test]
fn a_grant_is_given_back_with_the_last_copy_of_its_body() {
    let budget = budget();
    let mut grant = budget.grant(Kind::Request);
    assert!(grant.resize(1 << 20));
    let body = grant.attach(Bytes::from(vec![0; 1 << 20]));
    let slice = body.slice(100..200);
    drop(body);
    assert_eq!(budget.held_for(Kind::Request), 1 << 20);
    drop(slice);
    assert_eq!(budget.held(), 0);
}

#[tokio::test]
async fn grants_wait_in_order_and_new_large_bodies_are_refused_meanwhile() {
    let budget = budget();
    let mut first = budget.grant(Kind::Response);
    let mut second = budget.grant(Kind::Response);
    assert!(first.resize(MAX_BODY_BYTES));
    assert!(second.resize(40 << 20));
    let mut third = budget.grant(Kind::Response);
    let mut fourth = budget.grant(Kind::Response);
    let third_waits = third.resize_when_free(MAX_BODY_BYTES);
    let fourth_waits = fourth.resize_when_free(1 << 20);
    futures::pin_mut!(third_waits, fourth_waits);
    assert!(third_waits.as_mut().now_or_never().is_none());
    assert!(fourth_waits.as_mut().now_or_never().is_none());
    let mut new = budget.grant(Kind::Request);
    assert!(!new.resize(SMALL_BODY_BYTES + 1));
    drop(first);
    third_waits.await;
    fourth_waits.await;
    assert!(new.resize(SMALL_BODY_BYTES + 1));
}
