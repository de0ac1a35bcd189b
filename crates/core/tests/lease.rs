//! Tests of the holder's view of a lease.

use damaskweir_core::ids::Incarnation;
use damaskweir_core::lease::{Lease, LeaseState};
use damaskweir_core::time::{Span, Time};

const TTL: Span = Span::from_secs(9);

fn at(secs: u64) -> Time {
    Time(0) + Span::from_secs(secs)
}

/// Guards against a holder that continues after being paused past the end of its lease.
#[test]
fn paused_holder_finds_its_lease_lapsed() {
    let lease = Lease::new(Incarnation(1), at(100), TTL, 7);
    assert_eq!(lease.state(at(102)), LeaseState::Held);
    assert_eq!(lease.state(at(103)), LeaseState::Renew);
    assert_eq!(lease.state(Time(at(109).0 - 1)), LeaseState::Renew);
    assert_eq!(lease.state(at(109)), LeaseState::Lapsed);
    assert_eq!(lease.state(at(130)), LeaseState::Lapsed);
}

/// Guards against measuring the TTL from the arrival of a late renewal response: the store measures it
/// from an earlier time.
#[test]
fn renewal_counts_from_when_it_was_sent() {
    let mut lease = Lease::new(Incarnation(1), at(100), TTL, 7);
    lease.renew(at(104));
    assert_eq!(lease.state(at(112)), LeaseState::Renew);
    assert_eq!(lease.state(at(113)), LeaseState::Lapsed);
    // A late response to an earlier renewal does not shorten the lease.
    lease.renew(at(102));
    assert_eq!(lease.state(at(112)), LeaseState::Renew);
}
