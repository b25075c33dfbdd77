//! The authority's calls to the key-value service and the weight store.

use std::time::Duration;

use sequoiastream_core::authority::CallId;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::Record;
use sequoiastream_core::authority::RecordVersion;
use sequoiastream_core::authority::WriteOutcome;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_kv::Entry;
use sequoiastream_kv::Expect;
use sequoiastream_kv::KvClient;
use sequoiastream_kv::KvError;
use sequoiastream_kv::KvVersion;
use sequoiastream_kv::LeaseId;
use sequoiastream_kv::Swap;

use crate::log_event;
use crate::util::clock;

/// A lease that was granted and bound to the service's key.
#[derive(Debug, Clone, Copy)]
pub struct Acquired {
    /// The lease.
    pub lease: LeaseId,
    /// When its request was sent.
    pub sent: Time,
}

/// Maximum of the delay that is common to all instances before they compete for a vacant lease.
const MAX_BASE_DELAY: Duration = Duration::from_millis(500);

/// Maximum of the additional delay, of which each instance waits an individual fraction.
const MAX_SPREAD: Duration = Duration::from_secs(2);

/// Key to which the lease of a service is bound.
pub fn lease_key(service: &Name) -> String {
    format!("lease/{service}")
}

/// Key of the record of a service.
pub fn record_key(service: &Name) -> String {
    format!("authority/{service}")
}

/// How long this instance waits before it competes for a vacant lease. The delay differs by instance and by service, so
/// that the authorities are spread over the instances and only one or two instances compete at a time.
pub fn acquire_delay(ttl: Duration, service: &Name, instance: &Name) -> Duration {
    let hash = blake3::hash(format!("{service}/{instance}").as_bytes());
    let fraction = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
    (ttl / 20).min(MAX_BASE_DELAY) + (ttl / 5).min(MAX_SPREAD).mul_f64(fraction)
}

/// Waits for the key of the lease to change from version `after`, for at most `wait`. Returns `None` if it did not.
///
/// With version 0, as in the first call, it reads the key instead of waiting. If the key never existed, it then watches
/// the key for at most [`ABSENT_KEY_WAIT`] and returns the absent entry.
///
/// # Errors
///
/// [`KvError`] if no usable answer came in time.
pub async fn watch(
    kv: KvClient,
    service: Name,
    after: KvVersion,
    wait: Duration,
) -> Result<Option<Entry>, KvError> {
    let key = lease_key(&service);
    match after == KvVersion::default() {
        // A watch of an absent key would report that it is absent only at the end of its wait.
        true => {
            let entry = kv.get(&key).await?;
            match entry.version == after {
                true => kv
                    .watch(&key, after, wait.min(ABSENT_KEY_WAIT))
                    .await
                    .map(|e| e.or(Some(entry))),
                false => Ok(Some(entry)),
            }
        }
        false => kv.watch(&key, after, wait).await,
    }
}

/// Maximum wait of the watch of a key that never existed.
const ABSENT_KEY_WAIT: Duration = Duration::from_millis(200);

/// Requests a lease and binds the service's key to it, after releasing the lease `previous`. Returns `None` if another
/// instance holds the key or a call failed.
pub async fn acquire(
    kv: KvClient,
    service: Name,
    name: Name,
    previous: Option<LeaseId>,
    ttl: Duration,
) -> Option<Acquired> {
    if let Some(previous) = previous {
        let _ = kv.release(previous).await;
    }
    let key = lease_key(&service);
    let entry = kv.get(&key).await.ok()?;
    if entry.value.is_some() {
        return None;
    }
    let sent = clock::now();
    let lease = kv.grant(ttl).await.ok()?;
    let value = name.as_str().as_bytes();
    match kv.swap(&key, Expect::Absent, value, Some(lease)).await {
        Ok(Swap::Done(_)) => Some(Acquired { lease, sent }),
        Ok(Swap::Conflict(_)) | Err(_) => {
            // If the key was bound despite the error, releasing the lease unbinds it.
            let _ = kv.release(lease).await;
            None
        }
    }
}

/// Renews the lease. Without a lease the result is [`Event::Expired`].
pub async fn renew(kv: KvClient, call: CallId, lease: Option<LeaseId>) -> Event {
    let Some(lease) = lease else {
        return Event::Expired { call };
    };
    let sent = clock::now();
    match kv.renew(lease).await {
        Ok(()) => Event::Renewed { call, sent },
        Err(KvError::LeaseLapsed) => Event::Expired { call },
        Err(error) => {
            log_event!(warn, log_event::KV_FAILED, %error, call = "renew lease");
            Event::RenewFailed { call }
        }
    }
}

/// Reads the record of a service.
pub async fn read(kv: KvClient, service: Name, call: CallId) -> Event {
    match read_record(&kv, &service).await {
        Ok((version, record)) => Event::Read {
            call,
            version,
            record,
        },
        Err(error) => {
            log_event!(warn, log_event::KV_FAILED, %error, call = "read authority");
            Event::ReadFailed { call }
        }
    }
}

/// Reads the record of `service` and the version of its key; version 0 if there is no record.
///
/// # Errors
///
/// [`KvError`] if no usable answer came in time or the record cannot be decoded.
pub async fn read_record(kv: &KvClient, service: &Name) -> Result<(RecordVersion, Option<Record>), KvError> {
    let entry = kv.get(&record_key(service)).await?;
    let Some(value) = entry.value else {
        return Ok((RecordVersion::default(), None));
    };
    let record = serde_json::from_slice(&value).map_err(|e| KvError::Malformed(e.to_string()))?;
    Ok((RecordVersion(entry.version.0), Some(record)))
}

/// Writes the record of a service if its key still has the version `expect`.
pub async fn write(
    kv: KvClient,
    service: Name,
    call: CallId,
    expect: RecordVersion,
    record: Record,
) -> Event {
    let outcome = match serde_json::to_vec(&record) {
        Ok(value) => swap_record(&kv, &service, expect, &value).await,
        Err(error) => {
            log_event!(error, log_event::KV_FAILED, %error, call = "write authority");
            WriteOutcome::Unknown
        }
    };
    Event::Wrote { call, outcome }
}

async fn swap_record(kv: &KvClient, service: &Name, expect: RecordVersion, value: &[u8]) -> WriteOutcome {
    let expect = Expect::from(KvVersion(expect.0));
    match kv.swap(&record_key(service), expect, value, None).await {
        Ok(Swap::Done(version)) => WriteOutcome::Done(RecordVersion(version.0)),
        Ok(Swap::Conflict(_)) => WriteOutcome::Conflict,
        Err(error) => {
            log_event!(warn, log_event::KV_FAILED, %error, call = "write authority");
            WriteOutcome::Unknown
        }
    }
}

/// Asks the weight store whether `model` can be read, before an engine is ordered to load it.
pub async fn ask_weights(kv: KvClient, engine: Name, model: String) -> Event {
    let checked = match Name::new(&model) {
        Ok(model) => kv.check_weights(&model).await.map_err(|e| e.to_string()),
        Err(error) => Err(error.to_string()),
    };
    if let Err(error) = &checked {
        log_event!(warn, log_event::WEIGHTS_REFUSED, %engine, model, %error);
    }
    Event::WeightsChecked {
        engine,
        ready: checked.is_ok(),
    }
}
