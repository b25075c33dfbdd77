//! Lookup of the route of a request.

use std::time::Duration;

use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RouteTarget;
use sequoiastream_core::relay::routes::RoutingTable;

fn target(service: &str, weight: u32) -> RouteTarget {
    let service = service.to_string();
    RouteTarget { service, weight }
}

fn route(prefix: &str, targets: Vec<RouteTarget>) -> Route {
    Route {
        name: format!("to {prefix}"),
        host: "Shop.example".to_string(),
        prefix: prefix.to_string(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        gap_target: Duration::ZERO,
        priority: 0,
        max_attempts: 1,
        affine: false,
        public: false,
        targets,
    }
}

fn table(routes: Vec<Route>) -> RoutingTable {
    RoutingTable::new(7, CallerLimits::default(), routes, Vec::new())
}

#[test]
fn find_longest_prefix() {
    let prefixes = ["/", "/a/", "/a/b/", "/ab/"];
    let table = table(prefixes.map(|p| route(p, vec![target("s", 1)])).to_vec());
    let cases = [
        ("/", "/"),
        ("/a", "/"),
        ("/a/", "/a/"),
        ("/a/x", "/a/"),
        ("/a/b", "/a/"),
        ("/a/b/c/d", "/a/b/"),
        ("/ab/c", "/ab/"),
        ("/abc", "/"),
        ("/a//b/", "/a/"),
    ];
    for (path, prefix) in cases {
        let found = table.find("shop.example", path).map(|r| r.prefix.clone());
        assert_eq!(found.as_deref(), Some(prefix), "{path}");
    }
}

#[test]
fn find_none() {
    let table = table(vec![route("/a/", vec![target("s", 1)])]);
    for (host, path) in [
        ("shop.example", "/b/"),
        ("shop.example", "/a"),
        ("other.example", "/a/"),
        ("", ""),
    ] {
        assert!(table.find(host, path).is_none(), "{host}{path}");
    }
}

#[test]
fn service_by_weight() {
    let route = route("/", vec![target("old", 90), target("none", 0), target("new", 10)]);
    let mut old = 0;
    for draw in 0..1_000 {
        match route.service(draw) {
            Some("old") => old += 1,
            Some("new") => {}
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(old, 900);
}

/// Guards against a division by the sum of the weights when it is zero: operators remove all targets of a route, or set
/// all weights to zero.
#[test]
fn service_without_weight() {
    for targets in [vec![], vec![target("s", 0)]] {
        assert_eq!(route("/", targets).service(5), None);
    }
}

#[test]
fn outranked_same_service() {
    let mut urgent = route("/u/", vec![target("s", 1)]);
    let mut other = route("/o/", vec![target("s", 1), target("t", 1)]);
    let mut apart = route("/x/", vec![target("y", 1)]);
    (urgent.priority, other.priority, apart.priority) = (0, 1, 2);
    let table = table(vec![urgent.clone(), other.clone(), apart.clone()]);
    let ranks = [&urgent, &other, &apart].map(|r| table.is_outranked(r, r.priority));
    assert_eq!(ranks, [false, true, false]);
}
