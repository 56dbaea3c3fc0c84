//! Process-scoped state: the replicated log, its state machine, and idempotency records.

pub mod allowance_plan;
pub mod allowance_table;
pub mod command;
pub mod consensus;
pub mod control_state;
pub mod episode;
pub mod idempotency;
pub mod joining;
pub mod journal;
pub mod leader;
pub mod pause;
pub mod replica;

pub use allowance_table::{AllowanceTable, EntryInstance, Grant};
pub use command::{Command, CommandOutcome, GrantChange};
pub use consensus::{Consensus, ConsensusSettings};
pub use control_state::ControlState;
pub use episode::{Episode, EpisodeChange};
pub use joining::{IdentityQuery, JoinDecision};
pub use leader::Leader;
pub use replica::{HardState, LogEntry, Membership, Payload, ReplicaId, Snapshot};
