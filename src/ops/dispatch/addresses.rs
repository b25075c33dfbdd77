//! Which addresses callers should use, and whether this instance takes new work.

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

/// Most addresses named.
const MAX_ADDRESSES: usize = 8;

/// The addresses for `call`.
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
        keep: settings.times.address_ttl,
    })
}

/// This instance as others see it.
fn own_peer(dispatch: &Dispatch) -> Peer {
    let shared = &dispatch.shared;
    let leaves = shared.is_leaving() || shared.closed().is_some();
    Peer {
        name: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
        address: dispatch.control.bound.listen,
        peer_address: dispatch.control.bound.peer,
        state: if leaves {
            MemberState::Leaving
        } else {
            MemberState::Live
        },
        heard: true,
        version: shared.snapshot.load().version,
    }
}

/// Refuses new work if this instance stops or is cut off.
///
/// Failure guarded against: an instance that doesn't know the configuration in force sends work to an engine
/// that operators have drained; one that is about to exit cuts what it begins. Nothing was sent, so `not-run`
/// is true, and the refusal names instances that take the request.
pub fn check_accepting(dispatch: &Dispatch, unsent: Unsent) -> Result<Unsent, Refusal> {
    let Some(reason) = dispatch.shared.closed() else {
        return Ok(unsent);
    };
    let what = match reason {
        Reason::Stopping => "this instance is stopping",
        _ => "this instance is cut off and doesn't know the configuration in force",
    };
    let roster = dispatch.shared.roster();
    let others = roster.peers.iter().filter(|peer| peer.accepts_work());
    let others: Vec<String> = others
        .take(MAX_ADDRESSES)
        .map(|p| p.address.to_string())
        .collect();
    let message = match others.is_empty() {
        true => what.to_string(),
        false => format!("{what}; use {}", others.join(", ")),
    };
    Err(Refusal::not_run(unsent.refuse(reason), message))
}
