//! Detection of memory leaks.

use crate::analysis::{AnalysisParameters, CanaryAnalysis};
use crate::request_counters::FrontEndReport;

/// Memory samples kept for each process.
const MAX_SAMPLES: usize = 240;
/// Minimum samples for a trend.
const MIN_SAMPLES: usize = 12;
/// Minimum growth of a leak, in megabytes.
const MIN_GROWTH_MB: f64 = 8.0;
/// A leak has to grow faster than this multiple of the fastest growth in the baseline group.
const GROWTH_RATIO: f64 = 3.0;

/// Memory of one process at one time.
#[derive(Clone, Copy, Debug)]
struct MemorySample {
    /// Seconds since the process began to serve.
    uptime: f64,
    megabytes: f64,
}

/// The last memory samples of one process, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryHistory {
    samples: Vec<MemorySample>,
}

/// The growth of a process' memory.
struct MemoryTrend {
    /// Megabytes per second.
    slope: f64,
    /// Growth over the samples of the trend.
    growth_mb: f64,
    /// Memory at the last sample.
    megabytes: f64,
}

impl MemoryHistory {
    pub(crate) fn add(&mut self, report: &FrontEndReport) {
        self.samples.push(MemorySample {
            uptime: report.uptime_seconds,
            megabytes: report.memory_mb,
        });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.remove(0);
        }
    }

    /// Linear trend by least squares. The first third of the samples is left out, since memory grows while a process starts.
    fn trend(&self) -> Option<MemoryTrend> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let late = &self.samples[self.samples.len() / 3..];
        let first = late.first()?;
        let last = late.last()?;
        let count = late.len() as f64;
        let mean_uptime = late
            .iter()
            .fold(0.0, |mean, sample| mean + sample.uptime / count);
        let mean_megabytes = late
            .iter()
            .fold(0.0, |mean, sample| mean + sample.megabytes / count);
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for sample in late {
            covariance += (sample.uptime - mean_uptime) * (sample.megabytes - mean_megabytes);
            variance += (sample.uptime - mean_uptime).powi(2);
        }
        Some(MemoryTrend {
            slope: covariance / variance.max(1e-9),
            growth_mb: last.megabytes - first.megabytes,
            megabytes: last.megabytes,
        })
    }
}

impl MemoryTrend {
    /// Whether the process will exceed the limit within the horizon and grows much faster than the baseline group.
    fn is_leak(&self, baseline_slope: f64, parameters: &AnalysisParameters) -> bool {
        let expected = self.megabytes + self.slope * parameters.memory_horizon_seconds;
        expected > parameters.memory_limit_mb
            && self.growth_mb >= MIN_GROWTH_MB
            && self.slope > GROWTH_RATIO * baseline_slope
    }
}

impl CanaryAnalysis {
    /// The reason for a failure if a canary leaks memory.
    pub(crate) fn memory_leak(&self, reports: &[FrontEndReport]) -> Option<String> {
        let trend = |report: &FrontEndReport| {
            let process = (report.name.clone(), report.incarnation);
            self.memory.get(&process)?.trend()
        };
        let baseline_slope = reports
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
                trend.is_leak(baseline_slope, &self.parameters).then(|| {
                    format!(
                        "{} grows by {:.1} MB a minute, the old side by {:.1} at most",
                        report.name,
                        trend.slope * 60.0,
                        baseline_slope * 60.0
                    )
                })
            })
    }
}
