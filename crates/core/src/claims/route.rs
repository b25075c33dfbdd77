//! Which calls to a plain service may be repeated.

use crate::config::Repeat;
use crate::config::Route;

/// Returns whether a call may be repeated, as set for the route with the longest matching path prefix; a call that
/// matches no route may not.
///
/// Failure guarded against: a path is written so that it matches a repeatable route, while the upstream resolves it
/// to another (`/lookup/../orders`). Such paths are never repeated, whatever the routes say.
pub fn repeat_of(routes: &[Route], method: &str, path: &str) -> Repeat {
    let path = path.split('?').next().unwrap_or_default();
    if ["/.", "//", "%", "\\"].iter().any(|odd| path.contains(odd)) {
        return Repeat::Never;
    }
    let matching = routes
        .iter()
        .filter(|r| r.method == method && covers(&r.path, path));
    matching
        .max_by_key(|r| r.path.len())
        .map_or(Repeat::Never, |r| r.repeat)
}

fn covers(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}
