//! The instance addresses that callers should use, and whether this instance accepts new work.

use sequoiastream_caller::AddressCall;
use sequoiastream_caller::AddressList;
use sequoiastream_caller::Refusal;
use sequoiastream_caller::Unsent;
use sequoiastream_core::membership::Caller;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::Peer;
use sequoiastream_core::membership::rank;
use sequoiastream_core::outcome::Reason;

use crate::ops::dispatch::Dispatch;

/// Maximum number of addresses in a list or in a refusal.
const MAX_ADDRESSES: usize = 8;

/// Lists the addresses that the caller should use, best first.
///
/// # Errors
///
/// A refusal if the service is unknown.
pub fn list(dispatch: &Dispatch, call: AddressCall) -> Result<AddressList, Refusal> {
    let snapshot = dispatch.shared.snapshot.load();
    if let Some(service) = call.service.as_deref()
        && snapshot.service_of(service).is_none()
    {
        let proof = call.unsent.refuse(Reason::UnknownService);
        let message = format!("there is no model or service `{service}`");
        return Err(Refusal::not_run(proof, message));
    }
    let settings = &dispatch.shared.settings;
    let caller = Caller {
        zone: call.zone.as_ref().unwrap_or(&settings.zone),
        product: &call.product,
        conversation: &call.conversation,
    };
    let roster = dispatch.shared.roster();
    let own_peer = own_peer(dispatch);
    let mut addresses = rank(roster.peers.iter().chain([&own_peer]), &caller);
    addresses.truncate(MAX_ADDRESSES);
    Ok(AddressList {
        addresses,
        max_age: settings.shutdown_times.address_ttl,
    })
}

/// This instance in the form in which the roster holds its peers.
fn own_peer(dispatch: &Dispatch) -> Peer {
    let shared = &dispatch.shared;
    let leaving = shared.is_leaving() || shared.refusal_reason().is_some();
    Peer {
        name: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
        address: dispatch.control.bound.listen,
        peer_address: dispatch.control.bound.peer,
        state: if leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        },
        heard: true,
        version: shared.snapshot.load().version,
    }
}

/// Refuses new work if this instance is stopping or cut off from the configuration.
///
/// Failure guarded against: an instance that doesn't know the current configuration sends work to an engine that
/// operators have drained; one that is about to exit interrupts work that it starts. Nothing was sent, so the outcome
/// `not-run` is correct, and the refusal names instances that accept the request.
pub fn check_accepting(dispatch: &Dispatch, unsent: Unsent) -> Result<Unsent, Refusal> {
    let Some(reason) = dispatch.shared.refusal_reason() else {
        return Ok(unsent);
    };
    let cause = match reason {
        Reason::Stopping => "this instance is stopping",
        _ => "this instance is cut off and doesn't know the current configuration",
    };
    let roster = dispatch.shared.roster();
    let others = roster.peers.iter().filter(|peer| peer.accepts_work());
    let others: Vec<String> = others
        .take(MAX_ADDRESSES)
        .map(|p| p.address.to_string())
        .collect();
    let message = match others.is_empty() {
        true => cause.to_string(),
        false => format!("{cause}; use {}", others.join(", ")),
    };
    Err(Refusal::not_run(unsent.refuse(reason), message))
}
