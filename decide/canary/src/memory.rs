//! The growth of a process' memory.

use crate::analysis::{AnalysisParameters, CanaryAnalysis};
use crate::request_counters::FrontEndReport;

/// Samples of memory that are kept of each process.
const MAX_SAMPLES: usize = 240;
/// Samples that a trend needs.
const MIN_SAMPLES: usize = 12;
/// Megabytes of growth below which there is no trend.
const MIN_GROWTH: f64 = 8.0;
/// How many times as fast as on the old side memory has to grow to be the change's fault.
const GROWTH_RATIO: f64 = 3.0;

/// Memory of one process at one time.
#[derive(Clone, Copy, Debug)]
struct MemorySample {
    /// Seconds since the process began to serve.
    up: f64,
    megabytes: f64,
}

/// The samples of one process, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryHistory {
    samples: Vec<MemorySample>,
}

/// How a process' memory grows.
struct MemoryTrend {
    /// Megabytes a second.
    slope: f64,
    /// Megabytes that it grew by.
    growth: f64,
    megabytes: f64,
}

impl MemoryHistory {
    pub(crate) fn add(&mut self, report: &FrontEndReport) {
        self.samples.push(MemorySample {
            up: report.uptime_seconds,
            megabytes: report.memory_mb,
        });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.remove(0);
        }
    }

    /// The trend by least squares. The first third of the samples is left out: what a process takes at first is no trend.
    fn trend(&self) -> Option<MemoryTrend> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let late = &self.samples[self.samples.len() / 3..];
        let first = late.first()?;
        let last = late.last()?;
        let count = late.len() as f64;
        let mean_up = late
            .iter()
            .fold(0.0, |mean, sample| mean + sample.up / count);
        let mean_megabytes = late
            .iter()
            .fold(0.0, |mean, sample| mean + sample.megabytes / count);
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for sample in late {
            covariance += (sample.up - mean_up) * (sample.megabytes - mean_megabytes);
            variance += (sample.up - mean_up).powi(2);
        }
        Some(MemoryTrend {
            slope: covariance / variance.max(1e-9),
            growth: last.megabytes - first.megabytes,
            megabytes: last.megabytes,
        })
    }
}

impl MemoryTrend {
    /// Whether it will be over the limit within the horizon, and grows much faster than the old side does.
    fn is_leak(&self, old_slope: f64, parameters: &AnalysisParameters) -> bool {
        let foreseen = self.megabytes + self.slope * parameters.horizon;
        foreseen > parameters.memory
            && self.growth >= MIN_GROWTH
            && self.slope > GROWTH_RATIO * old_slope
    }
}

impl CanaryAnalysis {
    /// In words, if memory grows on the new side and not on the old, and will be over the limit within the horizon.
    pub(crate) fn memory_leak(&self, reports: &[FrontEndReport]) -> Option<String> {
        let trend = |report: &FrontEndReport| {
            let process = (report.name.clone(), report.incarnation);
            self.memory.get(&process)?.trend()
        };
        let old_slope = reports
            .iter()
            .filter(|report| !report.is_canary)
            .filter_map(trend)
            .map(|trend| trend.slope)
            .fold(0.0, f64::max);
        reports
            .iter()
            .filter(|report| report.is_canary)
            .find_map(|report| {
                let trend = trend(report)?;
                trend.is_leak(old_slope, &self.parameters).then(|| {
                    format!(
                        "{} grows by {:.1} MB a minute, the old side by {:.1} at most",
                        report.name,
                        trend.slope * 60.0,
                        old_slope * 60.0
                    )
                })
            })
    }
}
