# Shared functions that start the stand-ins and the processes of a three-zone deployment on loopback.

build_when_needed() {
  if [ ! -x target/jujubelead ] || [ -z "$(ls standins/target/jujubelead-standins-*-all.jar 2>/dev/null)" ]; then
    echo "building (first run only)"
    mvn -B -q -ntp -T2 package -DskipTests
    scripts/link-binary
  fi
  standins_jar=$(ls standins/target/jujubelead-standins-*-all.jar)
}

pids=()

# start NAME COMMAND...: starts a process in the background; its output goes to $run_dir/logs/NAME.log.
start() {
  local name=$1
  shift
  "$@" > "$run_dir/logs/$name.log" 2>&1 &
  pids+=($!)
}

standin() {
  local name=$1
  shift
  start "$name" java -Xmx48m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "$standins_jar" "$@"
}

# wait_http URL: polls the URL until it returns a success status; fails after 150 attempts.
wait_http() {
  for _ in $(seq 1 150); do
    curl -fsS -o /dev/null "$1" 2> /dev/null && return 0
    sleep 0.2
  done
  echo "no successful response from $1 within 150 attempts; see $run_dir/logs" >&2
  return 1
}

# Signals the processes started here in reverse order, so that entries and agents drain before the stand-ins stop.
stop_all() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[i]}" 2> /dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
}

# make_keys: creates one key pair for all processes of a local run. Real deployments give each process its own.
make_keys() {
  keytool -genkeypair -alias jujubelead -keyalg EC -dname CN=jujubelead -ext san=ip:127.0.0.1 -validity 30 \
    -storetype PKCS12 -keystore "$run_dir/keys.p12" -storepass local-run 2> /dev/null
}

# process_settings NAME ZONE LISTEN_PORT HTTP_PORT [TARGET_KIND TARGET_NAME TARGET_PORT]: writes $run_dir/NAME.yaml.
process_settings() {
  cat > "$run_dir/$1.yaml" <<YAML
instance: $1
zone: $2
listen: 127.0.0.1:$3
http: 127.0.0.1:$4
key_value_url: http://127.0.0.1:$platform_port
directory_url: http://127.0.0.1:$platform_port
tls:
  key_store: $run_dir/keys.p12
  trust_store: $run_dir/keys.p12
  password: local-run
YAML
  if [ $# -gt 4 ]; then
    printf 'target:\n  url: http://127.0.0.1:%s\n  %s: %s\n  capacity: 8\n' "$7" "$5" "$6" >> "$run_dir/$1.yaml"
  fi
}
