//! Metrics of calls to the platform, read from the meter that also enforces their budget.

use std::fmt;
use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Registry;
use sequoiastream_kv::CallCount;
use sequoiastream_kv::CallKind;
use sequoiastream_kv::CallMeter;

/// Exports the counts of a call meter.
#[derive(Debug)]
struct CallCollector(Arc<CallMeter>);

/// Registers the metrics of the calls counted by `calls`.
pub(super) fn register(registry: &mut Registry, calls: Arc<CallMeter>) {
    registry.register_collector(Box::new(CallCollector(calls)));
}

impl CallCollector {
    fn encode_counters<F>(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        name: &str,
        help: &str,
        value: F,
    ) -> Result<(), fmt::Error>
    where
        F: Fn(CallCount) -> u64,
    {
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for kind in CallKind::ALL {
            let counter = ConstCounter::new(value(self.0.count(kind)));
            counter.encode(family.encode_family(&[("kind", kind.label())])?)?;
        }
        Ok(())
    }
}

impl Collector for CallCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        self.encode_counters(
            &mut encoder,
            "platform_calls",
            "Calls to the platform, by kind",
            |count| count.calls,
        )?;
        self.encode_counters(
            &mut encoder,
            "platform_calls_failed",
            "Calls to the platform without a usable answer",
            |count| count.failed,
        )?;
        self.encode_counters(
            &mut encoder,
            "platform_calls_refused",
            "Calls to the platform not made because this instance's budget was spent",
            |count| count.refused,
        )
    }
}
