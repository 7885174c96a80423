//! Tests of retries: which requests may be retried, and how retries affect a fleet
//! during a fault.

use std::{collections::VecDeque, time::Duration};

use assert_matches::assert_matches;
use comfreyramp_policy::{
    AttemptReport, FinalCause, RetryBudget, RetryDecision, RunState, SuspectVerdict, Timestamp,
    decide_retry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn at(secs: f64) -> Timestamp {
    Timestamp::from_micros((secs * 1e6) as u64)
}

fn broken() -> AttemptReport {
    AttemptReport {
        idempotent: true,
        bytes_sent: true,
        tokens_delivered: 0,
        answer_started: false,
        attempts: 1,
        not_sent: 0,
        lost: 0,
        deadline: at(60.0),
        min_attempt_duration: Duration::from_millis(100),
        suspect: SuspectVerdict::Clear,
    }
}

fn decide(attempt: &AttemptReport) -> RetryDecision {
    let mut budget = RetryBudget::default();
    let mut rng = StdRng::seed_from_u64(1);
    decide_retry(attempt, &mut budget, at(1.0), &mut rng)
}

fn final_answer(attempt: &AttemptReport) -> (RunState, FinalCause) {
    let decision = decide(attempt);
    assert_matches!(decision, RetryDecision::Final(answer) => {
        assert!(answer.retry_after > Duration::ZERO);
        (answer.run, answer.cause)
    })
}

/// A server dies after a print job was sent to it, and it is unknown whether the job
/// was printed. A second attempt could print it twice.
#[test]
fn what_may_have_run_and_must_not_run_twice_is_unknown() {
    let attempt = AttemptReport {
        idempotent: false,
        ..broken()
    };
    assert_eq!(
        final_answer(&attempt),
        (RunState::Unknown, FinalCause::NotIdempotent)
    );
    let not_sent = AttemptReport {
        bytes_sent: false,
        ..attempt
    };
    assert_eq!(decide(&not_sent), RetryDecision::Retry { trial: false });
    let late = AttemptReport {
        deadline: at(1.05),
        ..not_sent
    };
    assert_eq!(final_answer(&late), (RunState::No, FinalCause::Deadline));
}

/// An engine dies in the middle of a stream. A restart would repeat tokens that the
/// caller has received; giving up would end the stream early.
#[test]
fn a_stream_resumes_after_the_delivered_tokens() {
    let attempt = AttemptReport {
        tokens_delivered: 17,
        ..broken()
    };
    let resumed = RetryDecision::Resume {
        from_token: 17,
        trial: false,
    };
    assert_eq!(decide(&attempt), resumed);
    let begun = AttemptReport {
        answer_started: true,
        ..broken()
    };
    assert_eq!(final_answer(&begun), (RunState::Partly, FinalCause::Begun));
}

#[test]
fn suspects_need_a_trial_and_blocked_requests_get_a_retry_time() {
    let suspect = AttemptReport {
        suspect: SuspectVerdict::NeedsTrial,
        ..broken()
    };
    assert_eq!(decide(&suspect), RetryDecision::Retry { trial: true });
    let span = Duration::from_secs(3600);
    let blocked = AttemptReport {
        suspect: SuspectVerdict::Blocked(span),
        ..broken()
    };
    let RetryDecision::Final(answer) = decide(&blocked) else {
        panic!("a blocked request was retried");
    };
    assert_eq!(
        (answer.cause, answer.retry_after),
        (FinalCause::Blocked, span)
    );
}

#[test]
fn attempts_are_counted_and_a_refusal_costs_no_budget() {
    let attempt = AttemptReport {
        attempts: 3,
        ..broken()
    };
    assert_eq!(
        final_answer(&attempt),
        (RunState::Unknown, FinalCause::Attempts)
    );
    let mut budget = RetryBudget::default();
    let before = budget.remaining();
    let mut rng = StdRng::seed_from_u64(1);
    decide_retry(&attempt, &mut budget, at(0.0), &mut rng);
    assert_eq!(budget.remaining(), before);
}

/// An idle daemon loses a server with a full batch. Its budget must suffice for all of
/// these requests although it had no success for a while.
#[test]
fn a_quiet_daemon_can_retry_one_servers_requests() {
    let mut budget = RetryBudget::default();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..32 {
        let decision = decide_retry(&broken(), &mut budget, at(1.0), &mut rng);
        assert_eq!(decision, RetryDecision::Retry { trial: false });
    }
    assert!(!budget.take(at(1.0)));
    assert!(budget.take(at(4.0)));
}

/// Requests a second that the simulated fleet can answer.
const CAPACITY: f64 = 100.0;
/// Requests a second that callers send.
const OFFERED: f64 = 80.0;
/// The maximum number of requests that wait at the simulated servers.
const MAX_QUEUE: usize = 150;
/// Simulation steps per second.
const STEPS: u32 = 100;
/// Steps until an attempt is given up.
const ATTEMPT_STEPS: u32 = STEPS;

struct Waiting {
    sent: u32,
    attempts: u32,
    deadline: Timestamp,
}

/// Simulates a fleet as one queue in order of arrival, which has a third of its
/// capacity between the seconds 20 and 40. An attempt is given up after one second, but
/// the servers still process it. A rejection costs a server a fifth of an answer.
/// Returns the numbers of answers in time before, during and after the fault.
fn brown_out(retry_always: bool) -> [u32; 3] {
    let mut rng = StdRng::seed_from_u64(7);
    let mut budget = RetryBudget::default();
    let mut queue: VecDeque<Waiting> = VecDeque::new();
    let mut sent: VecDeque<Waiting> = VecDeque::new();
    let mut on_time = [0; 3];
    let mut capacity = 0.0;
    for step in 0..80 * STEPS {
        let secs = step / STEPS;
        let now = at(f64::from(step) / f64::from(STEPS));
        let share = if (20..40).contains(&secs) { 0.33 } else { 1.0 };
        capacity = (capacity + share * CAPACITY / f64::from(STEPS)).min(2.0);
        if rng.random_bool(OFFERED / f64::from(STEPS)) {
            sent.push_back(Waiting {
                sent: step,
                attempts: 0,
                deadline: now + Duration::from_secs(10),
            });
        }
        let mut failed = Vec::new();
        for mut request in sent.drain(..) {
            request.sent = step;
            request.attempts += 1;
            if queue.len() < MAX_QUEUE {
                queue.push_back(request);
            } else {
                capacity -= 0.2;
                failed.push(request);
            }
        }
        while capacity >= 1.0 {
            let Some(request) = queue.pop_front() else {
                break;
            };
            capacity -= 1.0;
            if step - request.sent <= ATTEMPT_STEPS {
                on_time[(secs / 20).min(2) as usize] += 1;
                budget.success();
            } else {
                // The caller's daemon gave up earlier. Counting the retry here changes
                // the order of events only by the time in the queue.
                failed.push(request);
            }
        }
        for request in failed {
            let attempt = AttemptReport {
                attempts: request.attempts,
                deadline: request.deadline,
                ..broken()
            };
            let again = match retry_always {
                true => now < request.deadline,
                false => !matches!(
                    decide_retry(&attempt, &mut budget, now, &mut rng),
                    RetryDecision::Final(_)
                ),
            };
            if again {
                sent.push_back(request);
            }
        }
    }
    on_time
}

/// A fault takes two thirds of the capacity away for twenty seconds. If every failed
/// request is retried until its deadline, the queue stays full after the capacity is
/// back, each answer is too late, and no caller is served any more.
#[test]
fn retries_do_not_keep_a_fleet_down_after_a_brown_out() {
    let budgeted = brown_out(false);
    let retry_always = brown_out(true);
    println!("answers in time before, in and after: budget {budgeted:?}, always {retry_always:?}");
    assert_eq!(budgeted[0], retry_always[0]);
    let offered_after = OFFERED * 40.0;
    assert!(f64::from(budgeted[2]) > 0.9 * offered_after, "{budgeted:?}");
    assert!(
        f64::from(retry_always[2]) < 0.2 * offered_after,
        "{retry_always:?}"
    );
    assert!(
        budgeted[1] >= retry_always[1],
        "{budgeted:?} against {retry_always:?}"
    );
}

/// A stream runs on both of the engines that another request crashes. It was also sent
/// in vain to a VM that is gone, or rejected before it ran. It got no answer, so it
/// needs another server.
#[test]
fn who_shared_two_lost_servers_gets_another() {
    let now = Timestamp::ZERO;
    let decide = |attempts, not_sent, lost| {
        let attempt = AttemptReport {
            attempts,
            not_sent,
            lost,
            ..broken()
        };
        decide_retry(
            &attempt,
            &mut RetryBudget::default(),
            now,
            &mut StdRng::seed_from_u64(1),
        )
    };
    let is_final = |decision| matches!(decision, RetryDecision::Final(_));
    assert!(!is_final(decide(3, 1, 2)), "a VM that is gone");
    assert!(!is_final(decide(3, 0, 2)), "rejected once");
    assert!(!is_final(decide(4, 0, 2)), "rejected twice");
    assert!(!is_final(decide(7, 7, 0)), "VMs that are gone");
    assert!(is_final(decide(3, 0, 0)), "rejected by all");
    assert!(is_final(decide(3, 0, 3)), "three lost servers");
    assert!(is_final(decide(8, 8, 0)), "too many VMs that are gone");
}
