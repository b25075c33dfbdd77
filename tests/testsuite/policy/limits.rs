use std::time::Duration;

use sequoiastream_core::config::Share;
use sequoiastream_core::limit::Admission;
use sequoiastream_core::limit::Limiter;
use sequoiastream_core::limit::Limits;
use sequoiastream_core::limit::RequestCost;
use sequoiastream_core::limit::ServiceShare;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::time::Time;

use super::name;

/// Engine time that each request takes, in seconds.
const COST: f64 = 0.05;

/// Number of engines of the service, which is the engine seconds that it processes per second.
const ENGINES: usize = 8;

/// Time from each request's arrival to its deadline, in seconds.
const TIME_LEFT: f64 = 3.0;

/// A service that processes its backlog in order, behind a limiter.
struct Model {
    limiter: Limiter,
    backlog: f64,
    at: Time,
}

impl Model {
    fn new() -> Model {
        Model {
            limiter: Limiter::new(7),
            backlog: 0.0,
            at: Time::from_millis(1_000),
        }
    }

    fn request(&mut self, now: Time, product: &Name, share: u32) -> Admission {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.backlog = (self.backlog - passed * ENGINES as f64).max(0.0);
        let owed = ServiceShare {
            share: Share::percent(share),
            engines: ENGINES,
        };
        let need = RequestCost {
            cost: COST,
            total: self.backlog / ENGINES as f64 + 0.5,
            left: TIME_LEFT,
        };
        let verdict = self.limiter.admit(now, product, owed, need);
        if !matches!(verdict, Admission::Refused(..)) {
            self.backlog += COST;
        }
        verdict
    }
}

fn admitted(verdicts: &[Admission]) -> usize {
    let runs = verdicts.iter().filter(|v| !matches!(v, Admission::Refused(..)));
    runs.count()
}

// Guards against admission by deadline alone. A product that sends ten times its share would fill the engines'
// queues, so that no deadline can be met and requests of a product within its share are refused or late.
#[test]
fn admit_greedy_product() {
    let mut model = Model::new();
    let (modest, greedy) = (name("modest"), name("greedy"));
    let mut verdicts = Vec::new();
    // The modest product requests 0.3 of the engine time with a share of 40%; the greedy one 1.0 with a share of 10%.
    for millis in (1_000..31_000).step_by(5) {
        let now = Time::from_millis(millis);
        if millis % 20 == 0 {
            verdicts.push(model.request(now, &modest, 40));
        }
        let _ = model.request(now, &greedy, 10);
    }
    let part = admitted(&verdicts) as f64 / verdicts.len() as f64;
    assert!(part >= 0.95, "{part} of the modest product's requests ran");
}

#[test]
fn admit_lent_and_taken_back() {
    let mut model = Model::new();
    let (owner, borrower) = (name("owner"), name("borrower"));
    let mut lent = 0;
    for millis in (1_000..11_000).step_by(10) {
        let verdict = model.request(Time::from_millis(millis), &borrower, 10);
        lent += usize::from(verdict == Admission::Borrowed);
    }
    assert!(lent > 500, "{lent} of 1000 requests ran on unused share");
    let mut verdicts = Vec::new();
    for millis in (11_000..14_000).step_by(10) {
        let now = Time::from_millis(millis);
        let _ = model.request(now, &borrower, 10);
        verdicts.push(model.request(now, &owner, 80));
    }
    let late = &verdicts[verdicts.len() * 2 / 3..];
    assert_eq!(admitted(late), late.len());
}

#[test]
fn admit_too_late() {
    let mut limiter = Limiter::new(7);
    let owed = ServiceShare {
        share: Share::percent(50),
        engines: 1,
    };
    let need = RequestCost {
        cost: COST,
        total: 5.0,
        left: 3.0,
    };
    let verdict = limiter.admit(Time::from_millis(1_000), &name("p"), owed, need);
    let Admission::Refused(Reason::TooLate, after) = verdict else {
        panic!("{verdict:?}");
    };
    assert!(
        after >= Duration::from_secs(2) && after <= Duration::from_secs(3),
        "{after:?}"
    );
}

/// Guards against usage that is counted against the service that a product called last: a product that uses its share
/// of a large service would be refused at a small one, although it has requested little there.
#[test]
fn admit_services_apart() {
    let (large, small, product) = (name("assistente"), name("ordini"), name("dispatch"));
    let mut limits = Limits::new(7);
    let owed = |engines| ServiceShare {
        share: Share::percent(50),
        engines,
    };
    let need = |cost| RequestCost {
        cost,
        total: 0.1,
        left: TIME_LEFT,
    };
    for step in 0..400 {
        let now = Time::from_millis(1_000 + step * 20);
        limits.at(&large).admit(now, &product, owed(9), need(0.08));
    }
    let now = Time::from_millis(9_000);
    let verdict = limits.at(&small).admit(now, &product, owed(1), need(0.01));
    assert_eq!(verdict, Admission::WithinShare);
    let used: Vec<String> = limits
        .iter()
        .flat_map(|(service, limiter)| {
            limiter
                .accounts(now)
                .map(move |a| format!("{service} {:.1}", a.used))
        })
        .collect();
    assert_eq!(used, ["assistente 3.9", "ordini 0.0"]);
}
