use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

/// Interference assumed for a pair of images that has not been observed together: the
/// headroom that the service image loses if the other image uses a whole worker.
const PRIOR_INTERFERENCE: f64 = 2.0;
/// Prior variance of that assumption.
const PRIOR_VARIANCE: f64 = 9.0;
/// Prior variance of the headroom without neighbours, which starts at the first measurement.
const BASE_PRIOR_VARIANCE: f64 = 1.0;
/// Variance of one headroom measurement.
const MEASUREMENT_VARIANCE: f64 = 0.4;
/// Upper bound of a measured headroom.
const MAX_HEADROOM: f64 = 4.0;
/// Variance added to each estimate per measurement, so that old knowledge loses weight.
const VARIANCE_GROWTH: f64 = 0.0005;
/// Limit on the prediction error that one measurement counts with.
const MAX_ERROR: f64 = 1.5;
/// Most best-effort images in the model of a service image, so that its record stays within the limit
/// of the store.
const MAX_COLUMNS: usize = 96;
/// Number of standard deviations subtracted from an estimate, so that pairs with little data
/// are tried.
const EXPLORATION_FACTOR: f64 = 0.3;

/// Best-effort images beside a task, each with its share of the worker's CPU.
pub(crate) type Exposure = BTreeMap<Name, f64>;

/// Interference between images on the same worker, learned from measurements.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct InterferenceModel {
    /// Models by service image.
    #[serde(rename = "served")]
    services: BTreeMap<Name, ServiceModel>,
    /// Service images whose models have changed since they were last recorded.
    #[serde(skip)]
    changed: BTreeSet<Name>,
}

/// Returns the headroom of a task below its latency target, as the target divided by its tail
/// latency: 1 at the target, 2 at half of it. Tail latencies grow like those of a queue, with
/// the inverse of the idle capacity, so that neighbours reduce the headroom in proportion to
/// their CPU shares.
pub(crate) fn headroom(target: Millis, tail: Millis) -> f64 {
    (target as f64 / tail.max(1) as f64).min(MAX_HEADROOM)
}

/// Linear model of one service image's headroom, fitted by recursive least squares.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ServiceModel {
    /// Best-effort images by column. The first column stands for the headroom without them
    /// and has an empty name.
    columns: Vec<Name>,
    /// Estimated headroom without neighbours, and change of headroom per image.
    weights: Vec<f64>,
    /// Covariance matrix of the estimates, row by row.
    #[serde(rename = "spread")]
    covariance: Vec<Vec<f64>>,
}

impl InterferenceModel {
    /// Updates the model of a service image with the headroom measured beside `exposure`.
    pub(crate) fn observe(&mut self, service: &Name, headroom: f64, exposure: &Exposure) {
        let model = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceModel::with_base(headroom));
        model.update(headroom, exposure);
        self.changed.insert(service.clone());
    }

    /// Takes the service images whose models have changed, with their models.
    pub(crate) fn take_changed(&mut self) -> Vec<(Name, &ServiceModel)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|id| self.services.get(&id).map(|m| (id, m))).collect()
    }

    /// Adds the recorded model of a service image.
    pub(crate) fn restore(&mut self, service: &Name, model: ServiceModel) {
        self.services.insert(service.clone(), model);
    }

    /// Has all models recorded anew.
    pub(crate) fn touch(&mut self) {
        self.changed = self.services.keys().cloned().collect();
    }

    /// Returns the headroom that a service image is expected to lose if a best-effort image
    /// uses a whole worker; never negative.
    pub(crate) fn interference(&self, service: &Name, best_effort: &Name) -> f64 {
        self.services
            .get(service)
            .map_or(PRIOR_INTERFERENCE, |model| model.interference(best_effort))
    }

    /// Returns the service images that have been measured.
    pub(crate) fn measured_images(&self) -> impl Iterator<Item = &Name> {
        self.services.keys()
    }

    /// Returns, for each service image, its headroom without neighbours and its interference
    /// with each best-effort image, formatted for a log line.
    pub(crate) fn summaries(&self) -> Vec<(Name, f64, String)> {
        let line = |(image, model): (&Name, &ServiceModel)| {
            let pair = |best_effort: &Name| {
                format!("{best_effort}:{:.1}", model.interference(best_effort))
            };
            let pairs: Vec<String> = model.columns[1..].iter().map(pair).collect();
            (image.clone(), model.weights[0], pairs.join(","))
        };
        self.services.iter().map(line).collect()
    }
}

impl ServiceModel {
    fn with_base(base: f64) -> ServiceModel {
        ServiceModel {
            columns: vec!["".into()],
            weights: vec![base],
            covariance: vec![vec![BASE_PRIOR_VARIANCE]],
        }
    }

    fn column(&self, image: &Name) -> Option<usize> {
        self.columns.iter().position(|column| column == image)
    }

    fn interference(&self, image: &Name) -> f64 {
        let (weight, variance) = match self.column(image) {
            Some(at) => (self.weights[at], self.covariance[at][at]),
            None => (-PRIOR_INTERFERENCE, PRIOR_VARIANCE),
        };
        (-weight - EXPLORATION_FACTOR * variance.max(0.0).sqrt()).max(0.0)
    }

    /// Forgets the image about which least is known, if the model is full.
    fn make_room(&mut self) {
        if self.columns.len() <= MAX_COLUMNS {
            return;
        }
        let variance = |at: &usize| self.covariance[*at][*at];
        let least = (1..self.columns.len()).max_by(|a, b| variance(a).total_cmp(&variance(b)));
        let Some(at) = least else { return };
        self.columns.remove(at);
        self.weights.remove(at);
        self.covariance.remove(at);
        for row in &mut self.covariance {
            row.remove(at);
        }
    }

    fn add_column(&mut self, image: &Name) {
        self.make_room();
        self.columns.push(image.clone());
        self.weights.push(-PRIOR_INTERFERENCE);
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; self.columns.len()];
        row[self.columns.len() - 1] = PRIOR_VARIANCE;
        self.covariance.push(row);
    }

    /// Performs one step of recursive least squares.
    fn update(&mut self, measured: f64, exposure: &Exposure) {
        for image in exposure.keys() {
            if self.column(image).is_none() {
                self.add_column(image);
            }
        }
        let mut inputs = vec![0.0; self.columns.len()];
        inputs[0] = 1.0;
        for (image, share) in exposure {
            if let Some(at) = self.column(image) {
                inputs[at] = *share;
            }
        }
        let dot = |row: &Vec<f64>| row.iter().zip(&inputs).map(|(a, b)| a * b).sum::<f64>();
        let projected: Vec<f64> = self.covariance.iter().map(dot).collect();
        let expected = dot(&self.weights);
        let variance = MEASUREMENT_VARIANCE + dot(&projected);
        let error = (measured - expected).clamp(-MAX_ERROR, MAX_ERROR);
        for (weight, gain) in self.weights.iter_mut().zip(&projected) {
            *weight += gain / variance * error;
        }
        for (at, row) in self.covariance.iter_mut().enumerate() {
            for (entry, other) in row.iter_mut().zip(&projected) {
                *entry -= projected[at] * other / variance;
            }
            let max_variance = if at == 0 { BASE_PRIOR_VARIANCE } else { PRIOR_VARIANCE };
            row[at] = (row[at] + VARIANCE_GROWTH).min(max_variance);
        }
    }
}
