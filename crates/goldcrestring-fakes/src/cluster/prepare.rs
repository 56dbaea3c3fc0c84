//! Preparation of a cluster's files before its processes start.

use super::address::ReservedAddress;
use super::{BACKEND_TOKEN, Cluster, ClusterNode, OPERATOR_TOKEN, Result};
use crate::link::Link;
use std::io;
use std::process::Command;

/// The bearer token of the processes in test clusters.
pub(super) const PEER_TOKEN: &str = "peer-token-of-tests";

/// The name of test clusters.
pub(super) const CLUSTER_NAME: &str = "test";

impl Cluster {
    /// Writes the token files and the settings of every process, and starts the links between the
    /// processes.
    pub(super) async fn prepare(&mut self) -> Result<()> {
        let settings = self.settings.clone();
        let count = settings.voters + settings.spares + settings.entries;
        for position in 0..count {
            let name = format!("entry-{}", position + 1);
            let folder = self.folder.path().join(&name);
            std::fs::create_dir_all(folder.join("data"))?;
            let reserved = ReservedAddress::new()?;
            let address = reserved.address();
            let node = ClusterNode {
                address,
                folder,
                has_replica: false,
                child: None,
                _reserved: reserved,
            };
            self.nodes.insert(name, node);
        }
        // Roles are assigned in the order of the names, as in `settings_text`.
        for node in self.nodes.values_mut().take(settings.voters + settings.spares) {
            node.has_replica = true;
        }
        for (name, token) in
            [("peer", PEER_TOKEN), ("operator", OPERATOR_TOKEN), ("backend", BACKEND_TOKEN)]
        {
            std::fs::write(self.folder.path().join(format!("{name}.token")), token)?;
        }
        if settings.has_links {
            self.start_links().await?;
        }
        for (position, (name, node)) in self.nodes.iter().enumerate() {
            let text = self.settings_text(name, position);
            std::fs::write(node.folder.join("settings.yaml"), text)?;
        }
        Ok(())
    }

    async fn start_links(&mut self) -> Result<()> {
        for from in self.nodes.keys() {
            for (to, node) in self.nodes.iter().filter(|(to, _)| *to != from) {
                let link = Link::start(node.address).await?;
                self.links.insert((from.clone(), to.clone()), link);
            }
        }
        Ok(())
    }

    fn settings_text(&self, name: &str, position: usize) -> String {
        let mut text = format!(
            "cluster: {CLUSTER_NAME}\nnode: {name}\n\
             peer_token_file: ../peer.token\n\
             operator_token_file: ../operator.token\n\
             backend_token_file: ../backend.token\n\
             limits:\n  snapshot_entries: {}\n\
             timing:\n  replace_voter_after_ms: {}\n",
            self.settings.snapshot_entries,
            self.settings.replace_voter_after.as_millis(),
        );
        if position < self.settings.voters + self.settings.spares {
            text.push_str("data_folder: data\n");
        }
        text.push_str("peers:\n");
        for (number, (peer, node)) in self.nodes.iter().enumerate() {
            let link = self.links.get(&(name.to_owned(), peer.clone()));
            let address = link.map_or(node.address, Link::address);
            let role = if number < self.settings.voters {
                "voter"
            } else if number < self.settings.voters + self.settings.spares {
                "spare"
            } else {
                "entry"
            };
            let data_centre = number % 3 + 1;
            text.push_str(&format!(
                "  - {{node: {peer}, address: \"{address}\", data_centre: dc-{data_centre}, \
                 role: {role}}}\n"
            ));
        }
        text
    }

    /// Initializes the data folder of an initial voter.
    pub(super) fn init_replica(&self, name: &str) -> Result<()> {
        let settings = self.nodes[name].folder.join("settings.yaml");
        let mut command = Command::new(&self.settings.daemon);
        let output = command.arg("--settings").arg(settings).arg("--init-replica").output()?;
        if output.status.success() {
            return Ok(());
        }
        let problem = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(io::Error::other(problem).into())
    }
}
