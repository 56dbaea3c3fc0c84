//! Commands of the command-line tool against a running cluster.

use goldcrestring_fakes::cluster::{Cluster, ClusterSettings};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const TOOL: &str = env!("CARGO_BIN_EXE_goldcrestctl");

fn daemon_path() -> PathBuf {
    Path::new(TOOL).with_file_name("goldcrestringd")
}

struct Tool {
    server: String,
    token_file: PathBuf,
}

impl Tool {
    fn new(cluster: &Cluster, name: &str) -> Self {
        let token_file = cluster.folder().join("operator.token");
        Self { server: cluster.address(name).to_string(), token_file }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(TOOL);
        command.args(["--server", &self.server]).arg("--token-file").arg(&self.token_file);
        command.args(arguments).output().expect("the tool runs")
    }

    /// Runs a command that must succeed and returns its standard output.
    fn run_ok(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{arguments:?}: {error}");
        String::from_utf8(output.stdout).expect("UTF-8 output")
    }

    fn exit_code(&self, arguments: &[&str]) -> Option<i32> {
        self.run(arguments).status.code()
    }
}

fn sample_path(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/objects").join(name);
    path.to_str().expect("a UTF-8 path").to_owned()
}

#[test]
fn labels_control_placement_and_explain_gives_the_reason() {
    goldcrestring_wire::runtime::start(1).unwrap();
    let cluster = smol::block_on(Cluster::start(ClusterSettings::new(daemon_path()))).unwrap();
    let tool = Tool::new(&cluster, "entry-1");

    let file = sample_path("red-clay-crockworks.yaml");
    assert!(tool.run_ok(&["diff", "--file", &file]).contains("create pool/previews"));
    let applied = tool.run_ok(&["apply", "--file", &file, "--wait", "in-force"]);
    assert!(applied.starts_with("in force at revision "), "{applied}");
    assert!(tool.run_ok(&["diff", "--file", &file]).starts_with("no difference"));

    let vms = tool.run_ok(&["get", "vm", "--selector", "pool=spare"]);
    assert_eq!(vms.lines().count(), 1 + 8, "{vms}");
    let json = tool.run_ok(&["--output", "json", "get", "team/bakeries"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["objects"][0]["object"]["spec"]["team"]["upper_limit_tasks"], 200);

    tool.run_ok(&["label", "vm/rc-spare-1", "pool=quotes", "--wait", "in-force"]);
    let explanation = tool.run_ok(&["explain", "vm/rc-spare-1"]);
    assert!(explanation.contains("belongs to pool/quotes"), "{explanation}");
    tool.run_ok(&["label", "data-centre/clt-1", "service=out", "--wait", "in-force"]);
    assert!(tool.run_ok(&["explain", "vm/rc-spare-1"]).contains("out of service"));

    let key = tool.run_ok(&["keys", "grant", "--team", "bakeries", "--name", "bakeries-1"]);
    assert!(key.starts_with("bakeries-1."), "{key}");
    let secret = key.trim().rsplit('.').next().unwrap().to_owned();
    assert!(!tool.run_ok(&["--output", "json", "get", "key"]).contains(&secret));
    tool.run_ok(&["keys", "withdraw", "bakeries-1"]);
    assert_eq!(tool.exit_code(&["get", "key/bakeries-1"]), Some(3));

    let status = tool.run_ok(&["status"]);
    assert_eq!(status.lines().count(), 1 + 3, "{status}");
    assert!(status.contains("leader"), "{status}");
    for name in ["entry-1", "entry-2", "entry-3"] {
        let log = cluster.log(name).unwrap();
        assert!(!log.contains(&secret), "the log of {name} contains a secret");
    }
}

#[test]
fn sample_deployment_applies_and_errors_have_their_exit_codes() {
    goldcrestring_wire::runtime::start(1).unwrap();
    let mut cluster = smol::block_on(Cluster::start(ClusterSettings::new(daemon_path()))).unwrap();
    let tool = Tool::new(&cluster, "entry-1");
    tool.run_ok(&[
        "apply",
        "--file",
        &sample_path("rollos-del-pacifico.yaml"),
        "--wait",
        "in-force",
    ]);

    assert_eq!(tool.exit_code(&["label", "vm/no-such-vm", "a=b"]), Some(3), "an unknown VM");
    assert_eq!(tool.exit_code(&["label", "vm/rp-orders-1", "a"]), Some(2), "an invalid label");
    assert_eq!(tool.exit_code(&["apply", "--file", "no-such-file"]), Some(2), "a missing file");
    let stale = ["label", "vm/rp-orders-1", "a=b", "--expected-revision", "1"];
    assert_eq!(tool.exit_code(&stale), Some(3), "a conflict");
    let resent = ["label", "vm/rp-orders-1", "a=b", "--change-id", "only-once"];
    assert_eq!(tool.run_ok(&resent), tool.run_ok(&resent), "a resend gets the first response");

    for name in ["entry-1", "entry-2", "entry-3"] {
        cluster.kill(name).unwrap();
    }
    assert_eq!(tool.exit_code(&["status"]), Some(1), "no server answers");
}
