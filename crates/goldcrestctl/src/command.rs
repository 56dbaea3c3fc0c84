//! The commands.

use crate::error::{Error, Result};
use crate::jobs::{self, Jobs};
use crate::output::{AcceptedChange, Differences, Format, GrantedKey, print};
use crate::remote::Remote;
use crate::wait::{Until, wait};
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

/// A command.
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

/// Creates or replaces the objects of a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// the file, in YAML, with a list of objects
    #[argh(option)]
    file: PathBuf,
    /// refuse when an object was changed after this revision
    #[argh(option)]
    expected_revision: Option<Revision>,
    /// the id of the change; give the same one to send a change again
    #[argh(option)]
    change_id: Option<ObjectId>,
    /// accepted or in-force
    #[argh(option, default = "Until::Accepted")]
    wait: Until,
}

/// Deletes an object.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub(crate) struct Delete {
    /// the object, as kind/name
    #[argh(positional)]
    object: ObjectRef,
    /// accepted or in-force
    #[argh(option, default = "Until::Accepted")]
    wait: Until,
}

/// Shows what applying a file would do.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// the file, in YAML, with a list of objects
    #[argh(option)]
    file: PathBuf,
}

/// Tells which rules decide about an object, on which inputs.
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
    /// lists only objects whose labels it chooses
    #[argh(option, default = "Selector::default()")]
    selector: Selector,
}

/// Grants and withdraws the keys of teams.
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

/// Grants a team a new key and prints it; the secret is not kept anywhere.
#[derive(FromArgs)]
#[argh(subcommand, name = "grant")]
struct Grant {
    /// the team
    #[argh(option)]
    team: ObjectId,
    /// the name of the key
    #[argh(option)]
    name: KeyName,
    /// accepted or in-force
    #[argh(option, default = "Until::Accepted")]
    wait: Until,
}

/// Withdraws a key.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// the name of the key
    #[argh(positional)]
    name: ObjectId,
    /// accepted or in-force
    #[argh(option, default = "Until::InForce")]
    wait: Until,
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
    /// refuse when the object was changed after this revision
    #[argh(option)]
    expected_revision: Option<Revision>,
    /// the id of the change; give the same one to send a change again
    #[argh(option)]
    change_id: Option<ObjectId>,
    /// accepted or in-force
    #[argh(option, default = "Until::Accepted")]
    wait: Until,
}

/// Shows every process of the cluster.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ObjectsFile {
    objects: Vec<Object>,
}

/// Runs a command.
pub(crate) async fn run(remote: &Remote, command: Command, format: Format) -> Result<()> {
    match command {
        Command::Apply(apply) => {
            let edits = read_objects(&apply.file)?.into_iter().map(Edit::Put).collect();
            let change = change(edits, apply.expected_revision, apply.change_id)?;
            accept(remote, &change, apply.wait, format).await
        }
        Command::Delete(delete) => {
            let change = change(vec![Edit::Delete(delete.object)], None, None)?;
            accept(remote, &change, delete.wait, format).await
        }
        Command::Diff(diff) => show_differences(remote, &diff.file, format).await,
        Command::Explain(explain) => {
            print(&remote.explain(&explain.object.to_string()).await?, format);
            Ok(())
        }
        Command::Get(get) => {
            let path = get.what.map_or(String::new(), |what| format!("/{what}"));
            print(&remote.objects(&path, &get.selector.to_string()).await?, format);
            Ok(())
        }
        Command::Jobs(jobs) => jobs::run(remote, jobs, format).await,
        Command::Keys(Keys { command: KeysCommand::Grant(grant) }) => {
            grant_key(remote, grant, format).await
        }
        Command::Keys(Keys { command: KeysCommand::Withdraw(withdraw) }) => {
            let key = ObjectRef { kind: Kind::Key, name: withdraw.name };
            let change = change(vec![Edit::Delete(key)], None, None)?;
            accept(remote, &change, withdraw.wait, format).await
        }
        Command::Label(label) => {
            let (set, remove) = parse_labels(&label.labels)?;
            let edit = Edit::Label { object: label.object, set, remove };
            let change = change(vec![edit], label.expected_revision, label.change_id)?;
            accept(remote, &change, label.wait, format).await
        }
        Command::Status(_) => {
            print(&remote.status().await?, format);
            Ok(())
        }
    }
}

async fn accept(remote: &Remote, change: &Change, until: Until, format: Format) -> Result<()> {
    let revision = remote.change(change).await?;
    wait(remote, revision, until).await?;
    let is_in_force = until == Until::InForce;
    print(&AcceptedChange { revision: revision.get(), is_in_force }, format);
    Ok(())
}

async fn grant_key(remote: &Remote, grant: Grant, format: Format) -> Result<()> {
    let usage = |error: goldcrestring::version::KeyError| Error::usage(error.to_string());
    let name = grant.name.as_str().parse().map_err(|_| Error::usage("a key needs a name"))?;
    let key = PresentedKey::generate(grant.name).map_err(usage)?;
    let spec = Spec::Key(KeySpec { team: grant.team, secret_hash: key.hash().map_err(usage)? });
    let object = Object { name, labels: Labels::new(), spec };
    let change = change(vec![Edit::Put(object)], None, None)?;
    let revision = remote.change(&change).await?;
    wait(remote, revision, grant.wait).await?;
    print(&GrantedKey { key: key.reveal(), revision: revision.get() }, format);
    Ok(())
}

async fn show_differences(remote: &Remote, file: &Path, format: Format) -> Result<()> {
    let wanted = read_objects(file)?;
    let current = remote.objects("", "").await?;
    let mut differences = Vec::new();
    for object in wanted {
        let reference = object.reference();
        let known = current.objects.iter().find(|known| known.object.reference() == reference);
        match known {
            None => differences.push(format!("create {reference}")),
            Some(known) if known.object != object => {
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

fn change(
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
            return Err(Error::usage(format!("label {text:?}: write key=value or key-")));
        }
    }
    if set.is_empty() && remove.is_empty() {
        return Err(Error::usage("at least one label is needed"));
    }
    Ok((set, remove))
}
