//! The replicated records of a job's occurrences.

use super::{IndexSet, Step};
use crate::job::spec::{JobSpec, StepSpec};
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeMap;

/// One occurrence of a job's steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// The steps, in order.
    pub steps: Vec<Step>,
}

impl Occurrence {
    /// Whether all steps that `spec` depends on are done.
    pub fn is_ready(&self, spec: &StepSpec) -> bool {
        let is_done = |on: &u32| {
            usize::try_from(*on).is_ok_and(|on| self.steps.get(on).is_some_and(Step::is_done))
        };
        spec.depends_on.iter().all(is_done)
    }

    fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    fn is_finished(&self) -> bool {
        self.steps.iter().all(Step::is_finished)
    }

    fn has_waiting(&self) -> bool {
        self.steps.iter().any(|step| !step.waiting().is_empty())
    }
}

/// How many due occurrences of one job may be considered at once, besides those with running tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OccurrenceLimits {
    /// The maximum number of occurrences that have not been begun.
    pub max_unstarted: usize,
    /// The maximum number of steps of occurrences with waiting tasks; one occurrence is always
    /// allowed.
    pub max_waiting_steps: usize,
}

impl Default for OccurrenceLimits {
    fn default() -> Self {
        Self { max_unstarted: 64, max_waiting_steps: 4_096 }
    }
}

impl OccurrenceLimits {
    /// The number of occurrences that may begin beside those that have been.
    pub(super) fn max_unstarted(&self, occurrences: &Occurrences, steps: usize) -> usize {
        let max_waiting = (self.max_waiting_steps / steps.max(1)).max(1);
        let waiting = occurrences.begun().filter(|(_, occurrence)| occurrence.has_waiting());
        let waiting = waiting.take(max_waiting).count();
        self.max_unstarted.min(max_waiting - waiting)
    }
}

/// The occurrences of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(from = "StoredOccurrences")]
pub(super) enum Occurrences {
    /// The only occurrence.
    Single(Occurrence),
    /// Several scheduled ones.
    Series(Box<Series>),
}

/// Scheduled occurrences, of which only those begun and not finished have a record of their own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Series {
    /// Each occurrence of which no task has been assigned.
    unstarted: Occurrence,
    /// Each occurrence of which all tasks are done.
    finished: Occurrence,
    /// The occurrences that have been begun and are not finished.
    begun: BTreeMap<u32, Occurrence>,
    /// The occurrences that are not finished.
    unfinished: IndexSet,
    count: u32,
}

impl Series {
    fn new(unstarted: Occurrence, count: u32) -> Self {
        let steps = unstarted.steps.iter().map(Step::finished).collect();
        let finished = Occurrence { steps };
        let (begun, unfinished) = (BTreeMap::new(), IndexSet::below(count));
        Self { unstarted, finished, begun, unfinished, count }
    }

    fn get(&self, number: u32) -> Option<&Occurrence> {
        let unrecorded =
            if self.unfinished.contains(number) { &self.unstarted } else { &self.finished };
        (number < self.count).then(|| self.begun.get(&number).unwrap_or(unrecorded))
    }
}

impl Occurrences {
    pub(super) fn new(spec: &JobSpec) -> Self {
        let occurrence = Occurrence { steps: spec.steps.iter().map(Step::new).collect() };
        match spec.occurrences() {
            1 => Self::Single(occurrence),
            count => Self::Series(Box::new(Series::new(occurrence, count))),
        }
    }

    pub(super) fn get(&self, number: u32) -> Option<&Occurrence> {
        match self {
            Self::Single(occurrence) => (number == 0).then_some(occurrence),
            Self::Series(series) => series.get(number),
        }
    }

    /// Updates one step of an occurrence; `None` if there is no such step.
    pub(super) fn update<T>(
        &mut self,
        number: u32,
        step: u32,
        update: impl FnOnce(&mut Step) -> T,
    ) -> Option<T> {
        let step = usize::try_from(step).ok()?;
        match self {
            Self::Single(occurrence) if number == 0 => {
                Some(update(occurrence.steps.get_mut(step)?))
            }
            Self::Single(_) => None,
            Self::Series(series) => {
                if !series.unfinished.contains(number) || step >= series.unstarted.steps.len() {
                    return None;
                }
                let Series { begun, unstarted, .. } = &mut **series;
                let occurrence = begun.entry(number).or_insert_with(|| unstarted.clone());
                let result = update(occurrence.steps.get_mut(step)?);
                if occurrence.is_finished() {
                    begun.remove(&number);
                    series.unfinished.remove(number);
                } else if *occurrence == *unstarted {
                    begun.remove(&number);
                }
                Some(result)
            }
        }
    }

    /// The occurrences that are not finished and have been begun, with their numbers; the only one
    /// always.
    pub(super) fn begun(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        let (single, series) = self.parts();
        let begun = series.into_iter().flat_map(|series| &series.begun);
        let begun = begun.map(|(number, occurrence)| (*number, occurrence));
        single.map(|occurrence| (0, occurrence)).into_iter().chain(begun)
    }

    /// The other occurrences that are not finished, with their numbers, in order.
    pub(super) fn unstarted(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        let (_, series) = self.parts();
        series.into_iter().flat_map(|series| {
            let numbers = series.unfinished.iter();
            let numbers = numbers.filter(|number| !series.begun.contains_key(number));
            numbers.map(|number| (number, &series.unstarted))
        })
    }

    /// The occurrences that are not finished, with their numbers, in order; the only one always.
    pub(super) fn unfinished(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        let (single, series) = self.parts();
        let numbers = series.into_iter().flat_map(|series| {
            let numbers = series.unfinished.iter();
            numbers.filter_map(|number| Some((number, series.get(number)?)))
        });
        single.map(|occurrence| (0, occurrence)).into_iter().chain(numbers)
    }

    /// The numbers of occurrences without a record of their own: those that have not been begun, and
    /// those that are finished.
    pub(super) fn unrecorded_counts(&self) -> (u32, u32) {
        let (_, Some(series)) = self.parts() else { return (0, 0) };
        let begun = u32::try_from(series.begun.len()).unwrap_or(u32::MAX);
        let unfinished = series.unfinished.len();
        (unfinished.saturating_sub(begun), series.count - unfinished)
    }

    /// The memory of the records of a new job, in bytes, roughly.
    pub(super) fn initial_bytes(spec: &JobSpec) -> u64 {
        let records = if spec.occurrences() == 1 { 1 } else { 2 };
        occurrence_bytes(spec.steps.len()).saturating_mul(records)
    }

    /// The memory of the scheduled occurrences that have been begun, in bytes, roughly; assigned tasks
    /// are not included.
    pub(super) fn begun_bytes(&self) -> u64 {
        let (_, Some(series)) = self.parts() else { return 0 };
        let begun = u64::try_from(series.begun.len()).unwrap_or(u64::MAX);
        occurrence_bytes(series.unstarted.steps.len()).saturating_mul(begun)
    }

    const fn parts(&self) -> (Option<&Occurrence>, Option<&Series>) {
        match self {
            Self::Single(occurrence) => (Some(occurrence), None),
            Self::Series(series) => (None, Some(series)),
        }
    }

    /// Whether all tasks of all occurrences are done.
    pub(super) fn is_all_done(&self) -> bool {
        match self {
            Self::Single(occurrence) => occurrence.is_done(),
            Self::Series(series) => {
                let is_done = |number| series.begun.get(&number).is_some_and(Occurrence::is_done);
                series.unfinished.iter().all(is_done)
            }
        }
    }
}

/// The memory of the record of one occurrence, in bytes, roughly.
fn occurrence_bytes(steps: usize) -> u64 {
    let bytes = size_of::<Occurrence>() + steps * Step::MEMORY_BYTES;
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

impl Serialize for Occurrences {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Single(occurrence) => [occurrence].serialize(serializer),
            Self::Series(series) => series.serialize(serializer),
        }
    }
}

/// Occurrences as stored.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredOccurrences {
    Series(Box<Series>),
    /// With a record of each occurrence; several as stored by earlier versions.
    Dense(Vec<Occurrence>),
}

impl From<StoredOccurrences> for Occurrences {
    fn from(stored: StoredOccurrences) -> Self {
        let mut occurrences = match stored {
            StoredOccurrences::Series(series) => return Self::Series(series),
            StoredOccurrences::Dense(occurrences) => occurrences,
        };
        let count = u32::try_from(occurrences.len()).unwrap_or(u32::MAX);
        if count == 1
            && let Some(occurrence) = occurrences.pop()
        {
            return Self::Single(occurrence);
        }
        let unstarted = occurrences.first().map(|occurrence| Occurrence {
            steps: occurrence.steps.iter().map(Step::without_attempts).collect(),
        });
        let unstarted = unstarted.unwrap_or(Occurrence { steps: Vec::new() });
        let mut series = Series::new(unstarted, count);
        for (number, occurrence) in (0..count).zip(occurrences) {
            if occurrence.is_finished() {
                series.unfinished.remove(number);
            } else if occurrence != series.unstarted {
                series.begun.insert(number, occurrence);
            }
        }
        Self::Series(Box::new(series))
    }
}

#[cfg(test)]
mod tests;
