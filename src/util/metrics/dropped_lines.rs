//! The number of log lines dropped because the log's rate is limited.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;

use crate::util::logging::SharedBudget;

/// Exports the number of log lines dropped.
#[derive(Debug)]
pub(super) struct DroppedLineCollector(pub(super) SharedBudget);

impl Collector for DroppedLineCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        self.encode_counters(&mut encoder, "log_lines_dropped", "Log lines dropped, by event")
    }
}

impl DroppedLineCollector {
    fn encode_counters(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        name: &str,
        help: &str,
    ) -> Result<(), fmt::Error> {
        let budget = self.0.lock().expect("no thread panics while it holds the budget");
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (event, count) in budget.dropped() {
            let counter = ConstCounter::new(*count);
            counter.encode(family.encode_family(&[("event", event.to_string())])?)?;
        }
        Ok(())
    }
}
