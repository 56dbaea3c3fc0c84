//! The configuration at one revision, and how changes and deltas are applied to it.

mod edits;
mod pool_index;

use crate::name::{DataCentreName, PoolName, QueueName, TeamName, VmId};
use crate::quantity::Revision;
use crate::version::change::{Accepted, Change, ChangeDigest, ChangeId, Edit, Rejection, Result};
use crate::version::key::PresentedKey;
use crate::version::object::{
    DATA_CENTRE_LABEL, KeySpec, Kind, OUT_OF_SERVICE, Object, ObjectRef, QueueSpec, SERVICE_LABEL,
    Spec, TeamSpec,
};
use crate::version::selector::Selector;
use edits::Edits;
use pool_index::PoolIndex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of changes whose results are kept to answer retransmissions.
pub const MAX_ANSWERED_CHANGES: usize = 20_000;

/// The maximum number of revisions with deletions that are kept to compute deltas.
pub const MAX_TRACKED_DELETIONS: usize = 20_000;

/// The maximum timeout of a queue, from arrival to response, in milliseconds.
///
/// The units of a failed entry become available again only after this time.
pub const MAX_TIMEOUT_MS: u64 = 30_000;

/// An object with the revision that last modified it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned {
    /// The revision that last modified the object.
    pub revision: Revision,
    /// The object.
    pub object: Object,
}

/// The difference between two revisions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Whether the delta replaces the receiver's entire configuration.
    pub is_full: bool,
    /// The revision after applying the delta.
    pub revision: Revision,
    /// The revision that last changed a placement rule.
    pub rule_revision: Revision,
    /// The objects that were created or replaced.
    pub puts: Vec<Versioned>,
    /// The objects that were deleted.
    pub deletes: Vec<ObjectRef>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct AnsweredChange {
    digest: ChangeDigest,
    outcome: Result<Accepted>,
}

/// All objects at one revision.
///
/// # Examples
///
/// ```
/// use goldcrestring::quantity::Revision;
/// use goldcrestring::version::{Change, Configuration, Edit, Object, Spec, VmSpec};
///
/// let vm = Object { name: "vm-1".parse()?, labels: [].into(), spec: Spec::Vm(VmSpec::default()) };
/// let change = Change {
///     change_id: "first".parse()?,
///     expected_revision: None,
///     edits: vec![Edit::Put(vm)],
/// };
/// let mut configuration = Configuration::default();
/// let accepted = configuration.apply(Revision::new(1), &change)?;
/// assert_eq!(accepted.revision, Revision::new(1));
/// assert_eq!(configuration.objects().count(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    revision: Revision,
    rule_revision: Revision,
    objects: BTreeMap<ObjectRef, Versioned>,
    /// The existing objects, by the revision that last modified them.
    touched: BTreeMap<Revision, Vec<ObjectRef>>,
    deletions: BTreeMap<Revision, Vec<ObjectRef>>,
    /// The lowest revision since which a delta can be computed; older ones get a full delta.
    difference_floor: Revision,
    answered: BTreeMap<ChangeId, AnsweredChange>,
    answered_order: BTreeMap<Revision, ChangeId>,
    /// Increases with each applied delta that affects placement.
    #[serde(skip)]
    placement_generation: u64,
}

impl Configuration {
    /// Returns the revision of the last accepted change.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision that last changed a placement rule; each accepted change counts as one.
    pub const fn rule_revision(&self) -> Revision {
        self.rule_revision
    }

    /// Returns a counter that increases with each applied delta that affects placement.
    pub const fn placement_generation(&self) -> u64 {
        self.placement_generation
    }

    /// Returns all objects, ordered by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = &Versioned> {
        self.objects.values()
    }

    /// Returns an object, if it exists.
    pub fn get(&self, reference: &ObjectRef) -> Option<&Versioned> {
        self.objects.get(reference)
    }

    /// Applies a change atomically at the given log position, or rejects it.
    ///
    /// A retransmitted change is not applied again and gets the original result.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] with the reason, such as a conflict with another change, a reused
    /// change id, a missing object or an invalid field.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::quantity::Revision;
    /// use goldcrestring::version::{Change, Configuration, Rejection};
    ///
    /// let change =
    ///     Change { change_id: "empty".parse()?, expected_revision: None, edits: Vec::new() };
    /// let outcome = Configuration::default().apply(Revision::new(1), &change);
    /// assert_eq!(outcome, Err(Rejection::Empty));
    /// # Ok::<(), goldcrestring::name::NameError>(())
    /// ```
    pub fn apply(&mut self, revision: Revision, change: &Change) -> Result<Accepted> {
        if let Some(answered) = self.answered.get(&change.change_id) {
            if answered.digest == change.digest() {
                return answered.outcome.clone();
            }
            return Err(Rejection::ChangeIdReused { change_id: change.change_id.clone() });
        }
        let outcome = self.apply_new(revision, change);
        self.record_outcome(revision, change, &outcome);
        outcome
    }

    /// Returns the changes since the given revision, or a full delta if the changes are not known.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::quantity::Revision;
    /// use goldcrestring::version::Configuration;
    ///
    /// let delta = Configuration::default().delta_since(Revision::ZERO);
    /// assert!(delta.puts.is_empty());
    /// ```
    pub fn delta_since(&self, revision: Revision) -> Delta {
        if revision < self.difference_floor || revision > self.revision {
            return self.full_delta();
        }
        let touched = self.touched.range(revision.next()..).flat_map(|(_, objects)| objects);
        let puts = touched.filter_map(|reference| self.objects.get(reference)).cloned().collect();
        let deleted = self.deletions.range(revision.next()..).flat_map(|(_, objects)| objects);
        let deletes =
            deleted.filter(|reference| !self.objects.contains_key(reference)).cloned().collect();
        Delta {
            is_full: false,
            revision: self.revision,
            rule_revision: self.rule_revision,
            puts,
            deletes,
        }
    }

    /// Applies a delta from [`Configuration::delta_since`]; one with an older revision is ignored.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::quantity::Revision;
    /// use goldcrestring::version::Configuration;
    ///
    /// let mut copy = Configuration::default();
    /// copy.apply_delta(Configuration::default().delta_since(Revision::ZERO));
    /// assert_eq!(copy, Configuration::default());
    /// ```
    pub fn apply_delta(&mut self, delta: Delta) {
        if delta.revision < self.revision {
            return;
        }
        let kinds = delta.deletes.iter().map(|reference| reference.kind);
        let mut kinds = kinds.chain(delta.puts.iter().map(|put| put.object.spec.kind()));
        let affects_placement = kinds
            .any(|kind| matches!(kind, Kind::DataCentre | Kind::Pool | Kind::Queue | Kind::Vm));
        self.placement_generation += u64::from(delta.is_full || affects_placement);
        if delta.is_full {
            self.objects.clear();
            self.touched.clear();
            self.deletions.clear();
            self.difference_floor = delta.revision;
        }
        for reference in &delta.deletes {
            self.untrack_revision(reference);
            self.objects.remove(reference);
        }
        for versioned in delta.puts {
            self.insert(versioned);
        }
        self.revision = delta.revision;
        self.rule_revision = delta.rule_revision;
    }

    /// Returns the key if the presented secret is correct.
    pub fn authenticate(&self, presented: &PresentedKey) -> Option<&KeySpec> {
        let reference = ObjectRef::new(Kind::Key, presented.name.as_str())?;
        match &self.objects.get(&reference)?.object.spec {
            Spec::Key(key) if key.secret_hash.verify(presented) => Some(key),
            _ => None,
        }
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &QueueName) -> Option<&QueueSpec> {
        match &self.objects.get(&ObjectRef::new(Kind::Queue, name.as_str())?)?.object.spec {
            Spec::Queue(queue) => Some(queue),
            _ => None,
        }
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &TeamName) -> Option<&TeamSpec> {
        match &self.objects.get(&ObjectRef::new(Kind::Team, name.as_str())?)?.object.spec {
            Spec::Team(team) => Some(team),
            _ => None,
        }
    }

    /// Returns all teams, by name.
    pub fn teams(&self) -> BTreeMap<TeamName, &TeamSpec> {
        self.of_kind(Kind::Team)
            .filter_map(|object| match &object.spec {
                Spec::Team(team) => Some((object.name.as_str().parse().ok()?, team)),
                _ => None,
            })
            .collect()
    }

    /// Returns the longest timeout of any queue.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::Configuration;
    /// use std::time::Duration;
    ///
    /// assert_eq!(Configuration::default().longest_timeout(), Duration::ZERO);
    /// ```
    pub fn longest_timeout(&self) -> Duration {
        let queues = self.of_kind(Kind::Queue).filter_map(|object| match &object.spec {
            Spec::Queue(queue) => Some(queue.timeout_ms),
            _ => None,
        });
        Duration::from_millis(queues.max().unwrap_or(0))
    }

    /// Returns the names of all queues.
    pub fn queue_names(&self) -> Vec<QueueName> {
        self.of_kind(Kind::Queue).filter_map(|object| object.name.as_str().parse().ok()).collect()
    }

    /// Returns the pool of each VM, without VMs that belong to no pool.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestring::version::Configuration;
    ///
    /// assert!(Configuration::default().pools_by_vm().is_empty());
    /// ```
    pub fn pools_by_vm(&self) -> BTreeMap<VmId, PoolName> {
        let pools = PoolIndex::new(self.pools());
        self.of_kind(Kind::Vm)
            .filter_map(|vm| {
                let pool = pools.pool_of(&vm.labels)?;
                Some((vm.name.as_str().parse().ok()?, pool.clone()))
            })
            .collect()
    }

    /// Returns the pools that match a queue's selector.
    pub fn pools_of_queue(&self, queue: &QueueSpec) -> Vec<PoolName> {
        self.of_kind(Kind::Pool)
            .filter(|pool| queue.pool_selector.matches(&pool.labels))
            .filter_map(|pool| pool.name.as_str().parse().ok())
            .collect()
    }

    /// Returns whether tasks may start in a data centre; an undeclared one is in service.
    pub fn is_in_service(&self, data_centre: &DataCentreName) -> bool {
        ObjectRef::new(Kind::DataCentre, data_centre.as_str())
            .and_then(|reference| self.objects.get(&reference))
            .is_none_or(|versioned| versioned.object.label(SERVICE_LABEL) != Some(OUT_OF_SERVICE))
    }

    /// Returns the data centre from a VM's label, if set.
    pub fn data_centre_of_vm(&self, vm: &VmId) -> Option<DataCentreName> {
        let versioned = self.objects.get(&ObjectRef::new(Kind::Vm, vm.as_str())?)?;
        versioned.object.label(DATA_CENTRE_LABEL)?.parse().ok()
    }

    fn pools(&self) -> impl Iterator<Item = (&Object, &Selector)> {
        self.of_kind(Kind::Pool).filter_map(|object| match &object.spec {
            Spec::Pool(pool) => Some((object, &pool.vm_selector)),
            _ => None,
        })
    }

    fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        // References are ordered by kind first, so the scan can stop after the kind.
        self.objects
            .iter()
            .skip_while(move |(reference, _)| reference.kind < kind)
            .take_while(move |(reference, _)| reference.kind == kind)
            .map(|(_, versioned)| &versioned.object)
    }

    fn apply_new(&mut self, revision: Revision, change: &Change) -> Result<Accepted> {
        if change.edits.is_empty() {
            return Err(Rejection::Empty);
        }
        self.check_expected_revision(change)?;
        let mut edits = Edits::new(&self.objects);
        for edit in &change.edits {
            edits.apply(edit)?;
        }
        let edited = edits.edited;
        self.check_edited(&edited)?;
        self.commit(revision, edited);
        Ok(Accepted { revision })
    }

    fn check_expected_revision(&self, change: &Change) -> Result<()> {
        let Some(expected) = change.expected_revision else {
            return Ok(());
        };
        for object in change.edits.iter().map(Edit::target) {
            let actual = self.last_modified(&object);
            if actual > expected {
                return Err(Rejection::Conflict { object, expected, actual });
            }
        }
        Ok(())
    }

    fn last_modified(&self, object: &ObjectRef) -> Revision {
        if let Some(versioned) = self.objects.get(object) {
            return versioned.revision;
        }
        let deletion = self.deletions.iter().rev().find(|(_, objects)| objects.contains(object));
        deletion.map_or(Revision::ZERO, |(&revision, _)| revision)
    }

    fn check_edited(&self, edited: &BTreeMap<ObjectRef, Option<Object>>) -> Result<()> {
        let current = |reference: &ObjectRef| match edited.get(reference) {
            Some(object) => object.as_ref(),
            None => self.objects.get(reference).map(|versioned| &versioned.object),
        };
        for object in edited.values().flatten() {
            check_fields(object)?;
        }
        let is_kind_edited = |kind| edited.keys().any(|reference| reference.kind == kind);
        if is_kind_edited(Kind::Team) || is_kind_edited(Kind::Key) {
            self.check_keys(edited, &current)?;
        }
        if is_kind_edited(Kind::Pool) || is_kind_edited(Kind::Vm) {
            self.check_pools(edited, &current)?;
        }
        Ok(())
    }

    fn references(
        &self,
        kind: Kind,
        edited: &BTreeMap<ObjectRef, Option<Object>>,
    ) -> std::collections::BTreeSet<ObjectRef> {
        let of_kind = |reference: &&ObjectRef| reference.kind == kind;
        let stored = self.objects.keys().filter(of_kind);
        stored.chain(edited.keys().filter(of_kind)).cloned().collect()
    }

    fn check_keys<'a>(
        &'a self,
        edited: &'a BTreeMap<ObjectRef, Option<Object>>,
        current: &impl Fn(&ObjectRef) -> Option<&'a Object>,
    ) -> Result<()> {
        for key in self.references(Kind::Key, edited) {
            let Some(Spec::Key(spec)) = current(&key).map(|object| &object.spec) else {
                continue;
            };
            let team = ObjectRef { kind: Kind::Team, name: spec.team.clone() };
            if current(&team).is_none() {
                return Err(Rejection::UnknownTeam { key, team });
            }
        }
        Ok(())
    }

    fn check_pools<'a>(
        &'a self,
        edited: &'a BTreeMap<ObjectRef, Option<Object>>,
        current: &impl Fn(&ObjectRef) -> Option<&'a Object>,
    ) -> Result<()> {
        let pools = self.references(Kind::Pool, edited);
        let selectors: Vec<_> = pools
            .iter()
            .filter_map(|reference| match &current(reference)?.spec {
                Spec::Pool(pool) => Some((reference, &pool.vm_selector)),
                _ => None,
            })
            .collect();
        let are_pools_edited = edited.keys().any(|reference| reference.kind == Kind::Pool);
        // Unless a pool was edited, only edited VMs can have changed their pool.
        let vms = if are_pools_edited {
            self.references(Kind::Vm, edited)
        } else {
            edited.keys().filter(|reference| reference.kind == Kind::Vm).cloned().collect()
        };
        for vm in vms {
            let Some(object) = current(&vm) else { continue };
            let mut matching =
                selectors.iter().filter(|(_, selector)| selector.matches(&object.labels));
            let first = matching.next();
            let second = matching.next();
            if let (Some((first, _)), Some((second, _))) = (first, second) {
                let (first, second) = ((*first).clone(), (*second).clone());
                return Err(Rejection::TwoPools { vm, first, second });
            }
        }
        Ok(())
    }

    fn commit(&mut self, revision: Revision, edited: BTreeMap<ObjectRef, Option<Object>>) {
        for (reference, object) in edited {
            match object {
                Some(object) => self.insert(Versioned { revision, object }),
                None => {
                    self.untrack_revision(&reference);
                    if self.objects.remove(&reference).is_some() {
                        self.deletions.entry(revision).or_default().push(reference);
                    }
                }
            }
        }
        self.revision = revision;
        self.rule_revision = revision;
        while self.deletions.len() > MAX_TRACKED_DELETIONS {
            if let Some((oldest, _)) = self.deletions.pop_first() {
                self.difference_floor = oldest;
            }
        }
    }

    fn insert(&mut self, versioned: Versioned) {
        let reference = versioned.object.reference();
        self.untrack_revision(&reference);
        self.touched.entry(versioned.revision).or_default().push(reference.clone());
        self.objects.insert(reference, versioned);
    }

    fn untrack_revision(&mut self, reference: &ObjectRef) {
        let Some(versioned) = self.objects.get(reference) else {
            return;
        };
        let revision = versioned.revision;
        if let Some(objects) = self.touched.get_mut(&revision) {
            objects.retain(|object| object != reference);
            if objects.is_empty() {
                self.touched.remove(&revision);
            }
        }
    }

    fn full_delta(&self) -> Delta {
        Delta {
            is_full: true,
            revision: self.revision,
            rule_revision: self.rule_revision,
            puts: self.objects.values().cloned().collect(),
            deletes: Vec::new(),
        }
    }

    fn record_outcome(&mut self, revision: Revision, change: &Change, outcome: &Result<Accepted>) {
        let answered = AnsweredChange { digest: change.digest(), outcome: outcome.clone() };
        self.answered.insert(change.change_id.clone(), answered);
        self.answered_order.insert(revision, change.change_id.clone());
        while self.answered_order.len() > MAX_ANSWERED_CHANGES {
            if let Some((_, oldest)) = self.answered_order.pop_first() {
                self.answered.remove(&oldest);
            }
        }
    }
}

fn check_fields(object: &Object) -> Result<()> {
    let problem = match &object.spec {
        Spec::Queue(queue) if !(1..=MAX_TIMEOUT_MS).contains(&queue.timeout_ms) => {
            Some(("timeout_ms", "must be from 1 to 30000"))
        }
        Spec::Team(team) if team.weight == 0 => Some(("weight", "must be above zero")),
        Spec::MaintenancePlan(plan) if plan.interval_s == 0 => {
            Some(("interval_s", "must be above zero"))
        }
        _ => None,
    };
    match problem {
        None => Ok(()),
        Some((field, problem)) => Err(Rejection::Field {
            object: object.reference(),
            field: field.to_owned(),
            problem: problem.to_owned(),
        }),
    }
}
