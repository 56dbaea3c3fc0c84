//! Subcommands and their execution.

use crate::cluster_client::ClusterClient;
use crate::error::{Error, Result};
use crate::jobs::{self, Jobs};
use crate::output::{AcceptedChange, Differences, Format, GrantedKey, print};
use crate::wait::{WaitCondition, wait};
use argh::FromArgs;
use goldcrestring::name::{KeyName, ObjectId};
use goldcrestring::quantity::Revision;
use goldcrestring::version::{
    Change, Edit, KeySpec, Kind, LabelKey, Labels, Object, ObjectRef, PresentedKey, Selector, Spec,
};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use uuid::Uuid;

/// A subcommand.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Apply(Apply),
    Delete(Delete),
    Diff(Diff),
    Explain(Explain),
    Get(Get),
    Jobs(Jobs),
    Keys(Keys),
    Label(Label),
    Status(StatusCommand),
}

/// Creates or replaces the objects in a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// the YAML file with a list of objects
    #[argh(option)]
    file: PathBuf,
    /// reject the change if an object was modified after this revision
    #[argh(option)]
    expected_revision: Option<Revision>,
    /// the id of the change; reuse it to retry a change
    #[argh(option)]
    change_id: Option<ObjectId>,
    /// wait until the change is accepted or in-force
    #[argh(option, default = "WaitCondition::Accepted")]
    wait: WaitCondition,
}

/// Deletes an object.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub(crate) struct Delete {
    /// the object, as kind/name
    #[argh(positional)]
    object: ObjectRef,
    /// wait until the change is accepted or in-force
    #[argh(option, default = "WaitCondition::Accepted")]
    wait: WaitCondition,
}

/// Shows the changes that applying a file would make.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// the YAML file with a list of objects
    #[argh(option)]
    file: PathBuf,
}

/// Explains which rules apply to an object, and their inputs.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the object, as kind/name
    #[argh(positional)]
    object: ObjectRef,
}

/// Lists objects.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    /// a kind, or an object as kind/name
    #[argh(positional)]
    what: Option<String>,
    /// list only objects whose labels match the selector
    #[argh(option, default = "Selector::default()")]
    selector: Selector,
}

/// Grants and withdraws team keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct Keys {
    #[argh(subcommand)]
    command: KeysCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum KeysCommand {
    Grant(Grant),
    Withdraw(Withdraw),
}

/// Grants a team a new key and prints it; the secret is not stored.
#[derive(FromArgs)]
#[argh(subcommand, name = "grant")]
struct Grant {
    /// the team
    #[argh(option)]
    team: ObjectId,
    /// the name of the key
    #[argh(option)]
    name: KeyName,
    /// wait until the change is accepted or in-force
    #[argh(option, default = "WaitCondition::Accepted")]
    wait: WaitCondition,
}

/// Withdraws a key.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// the name of the key
    #[argh(positional)]
    name: ObjectId,
    /// wait until the change is accepted or in-force
    #[argh(option, default = "WaitCondition::InForce")]
    wait: WaitCondition,
}

/// Sets and removes labels of an object.
#[derive(FromArgs)]
#[argh(subcommand, name = "label")]
pub(crate) struct Label {
    /// the object, as kind/name
    #[argh(positional)]
    object: ObjectRef,
    /// key=value to set a label, key- to remove it
    #[argh(positional)]
    labels: Vec<String>,
    /// reject the change if the object was modified after this revision
    #[argh(option)]
    expected_revision: Option<Revision>,
    /// the id of the change; reuse it to retry a change
    #[argh(option)]
    change_id: Option<ObjectId>,
    /// wait until the change is accepted or in-force
    #[argh(option, default = "WaitCondition::Accepted")]
    wait: WaitCondition,
}

/// Shows the status of every process of the cluster.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ObjectsFile {
    objects: Vec<Object>,
}

/// Runs a command.
pub(crate) async fn run(client: &ClusterClient, command: Command, format: Format) -> Result<()> {
    match command {
        Command::Apply(apply) => {
            let edits = read_objects(&apply.file)?.into_iter().map(Edit::Put).collect();
            let change = new_change(edits, apply.expected_revision, apply.change_id)?;
            submit_change(client, &change, apply.wait, format).await
        }
        Command::Delete(delete) => {
            let change = new_change(vec![Edit::Delete(delete.object)], None, None)?;
            submit_change(client, &change, delete.wait, format).await
        }
        Command::Diff(diff) => show_differences(client, &diff.file, format).await,
        Command::Explain(explain) => {
            print(&client.explain(&explain.object.to_string()).await?, format);
            Ok(())
        }
        Command::Get(get) => {
            let path = get.what.map_or(String::new(), |what| format!("/{what}"));
            print(&client.objects(&path, &get.selector.to_string()).await?, format);
            Ok(())
        }
        Command::Jobs(jobs) => jobs::run(client, jobs, format).await,
        Command::Keys(Keys { command: KeysCommand::Grant(grant) }) => {
            grant_key(client, grant, format).await
        }
        Command::Keys(Keys { command: KeysCommand::Withdraw(withdraw) }) => {
            let key = ObjectRef { kind: Kind::Key, name: withdraw.name };
            let change = new_change(vec![Edit::Delete(key)], None, None)?;
            submit_change(client, &change, withdraw.wait, format).await
        }
        Command::Label(label) => {
            let (set, remove) = parse_labels(&label.labels)?;
            let edit = Edit::Label { object: label.object, set, remove };
            let change = new_change(vec![edit], label.expected_revision, label.change_id)?;
            submit_change(client, &change, label.wait, format).await
        }
        Command::Status(_) => {
            print(&client.status().await?, format);
            Ok(())
        }
    }
}

async fn submit_change(
    client: &ClusterClient,
    change: &Change,
    condition: WaitCondition,
    format: Format,
) -> Result<()> {
    let revision = client.change(change).await?;
    wait(client, revision, condition).await?;
    let is_in_force = condition == WaitCondition::InForce;
    print(&AcceptedChange { revision: revision.get(), is_in_force }, format);
    Ok(())
}

async fn grant_key(client: &ClusterClient, grant: Grant, format: Format) -> Result<()> {
    let usage = |error: goldcrestring::version::KeyError| Error::usage(error.to_string());
    let name = grant
        .name
        .as_str()
        .parse()
        .map_err(|_| Error::usage("the name of the key is not a valid object name"))?;
    let key = PresentedKey::generate(grant.name).map_err(usage)?;
    let spec = Spec::Key(KeySpec { team: grant.team, secret_hash: key.hash().map_err(usage)? });
    let object = Object { name, labels: Labels::new(), spec };
    let change = new_change(vec![Edit::Put(object)], None, None)?;
    let revision = client.change(&change).await?;
    wait(client, revision, grant.wait).await?;
    print(&GrantedKey { key: key.reveal(), revision: revision.get() }, format);
    Ok(())
}

async fn show_differences(client: &ClusterClient, file: &Path, format: Format) -> Result<()> {
    let desired = read_objects(file)?;
    let current = client.objects("", "").await?;
    let mut differences = Vec::new();
    for object in desired {
        let reference = object.reference();
        let existing =
            current.objects.iter().find(|existing| existing.object.reference() == reference);
        match existing {
            None => differences.push(format!("create {reference}")),
            Some(existing) if existing.object != object => {
                differences.push(format!("change {reference}"));
            }
            Some(_) => {}
        }
    }
    print(&Differences { revision: current.revision.get(), differences }, format);
    Ok(())
}

fn read_objects(path: &Path) -> Result<Vec<Object>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::usage(format!("{}: {error}", path.display())))?;
    let file: ObjectsFile = serde_saphyr::from_str(&text)
        .map_err(|error| Error::usage(format!("{}: {error}", path.display())))?;
    Ok(file.objects)
}

fn new_change(
    edits: Vec<Edit>,
    expected_revision: Option<Revision>,
    change_id: Option<ObjectId>,
) -> Result<Change> {
    let change_id = match change_id {
        Some(change_id) => change_id,
        None => Uuid::now_v7()
            .to_string()
            .parse()
            .map_err(|error| Error::usage(format!("change id: {error}")))?,
    };
    Ok(Change { change_id, expected_revision, edits })
}

fn parse_labels(labels: &[String]) -> Result<(Labels, BTreeSet<LabelKey>)> {
    let usage = |text: &str, error: goldcrestring::name::NameError| {
        Error::usage(format!("label {text:?}: {error}"))
    };
    let mut set = Labels::new();
    let mut remove = BTreeSet::new();
    for text in labels {
        if let Some((key, value)) = text.split_once('=') {
            let key = key.parse().map_err(|error| usage(text, error))?;
            set.insert(key, value.parse().map_err(|error| usage(text, error))?);
        } else if let Some(key) = text.strip_suffix('-') {
            remove.insert(key.parse().map_err(|error| usage(text, error))?);
        } else {
            return Err(Error::usage(format!("label {text:?}: expected key=value or key-")));
        }
    }
    if set.is_empty() && remove.is_empty() {
        return Err(Error::usage("at least one label to set or remove is required"));
    }
    Ok((set, remove))
}
