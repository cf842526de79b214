//! A configuration with client accounts, for tests.

const COLUMNS: &str = r#"["name","host","pathPrefix","kind","timeoutS","targetLatencyS","priority","maxAttempts","service","public"]"#;
const ROWS: &str = r#"["read","a.example","/read/","safe",2.0,0.5,2,2,"svc",false],["write","a.example","/write/","unsafe",2.0,0.5,1,2,"svc",false],["open","a.example","/open/","safe",2.0,0.5,1,2,"svc",true]"#;

/// Returns the JSON of a configuration with these rows of accounts: name, keys, priority,
/// rate and burst.
pub fn config(version: u64, accounts: &[&str]) -> String {
    let accounts = accounts.join(",");
    format!(
        r#"{{"version":{version},"routes":{{"columns":{COLUMNS},"rows":[{ROWS}]}},"services":{{"columns":["name","healthCheckPath","maxConnections","protocol","tls","warmupS","coldPerS"],"rows":[["svc","/health",220,"h1",false,3.0,6.0]]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}},"tenants":{{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[{accounts}]}},"baseVersion":0}}"#
    )
}
