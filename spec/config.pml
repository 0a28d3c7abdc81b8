/*
 * The configuration in force: racing operators, readers of the log, readers of
 * a log whose beginning has expired, and spread between entry VMs.
 *
 * Each NO_... macro takes one safeguard out.
 */
#define NODES 3
#define LENGTH 5
#define PUBLISH 1
#define REPEAT 2

/* The stream: kind, base or version, and the document of each record. */
byte kind[LENGTH];
byte base[LENGTH];
byte document[LENGTH];
byte length = 0;
byte first = 0;		/* oldest record still kept */

/* The truth: what a reader of the whole stream has in force. */
byte truth = 0;
byte truth_document = 0;
byte history[LENGTH + 1];	/* document of each version that was in force */

byte cursor[NODES];
byte draft[NODES];		/* what the records read so far come to */
byte draft_document[NODES];
byte version[NODES];		/* what the node acts on */
byte inforce[NODES];
byte next_document = 1;

/* A node acts on what it has read only at the end of the stream. */
#ifdef NO_CATCH_UP
#define AT_END(i) 1
#else
#define AT_END(i) (cursor[i] == length)
#endif
#ifdef NO_GROWTH
#define NEWER(a, b) ((a) != (b))
#else
#define NEWER(a, b) ((a) > (b))
#endif

inline fold(v, d, at)
{
	if
#ifdef NO_BASE
	:: kind[at] == PUBLISH -> v = base[at] + 1; d = document[at]
#else
	:: kind[at] == PUBLISH && base[at] == v -> v++; d = document[at]
#endif
	:: kind[at] == REPEAT && base[at] >= v -> v = base[at]; d = document[at]
	:: else
	fi
}

inline append(k, b, d)
{
	kind[length] = k;
	base[length] = b;
	document[length] = d;
	fold(truth, truth_document, length);
	history[truth] = truth_document;
	length++
}

/* What a node acts on never goes back, and is what the version was for all. */
inline act(i, v, d)
{
	assert(v >= version[i]);
	version[i] = v;
	inforce[i] = d;
	assert(v <= truth);
	assert(v == 0 || d == history[v])
}

proctype Node(byte i)
{
	byte j;
	do
	/* Reads one record; what expired unread is passed over. */
	:: atomic { cursor[i] < length ->
		if
		:: cursor[i] < first -> cursor[i] = first
		:: else
		fi;
		if
		:: cursor[i] < length -> fold(draft[i], draft_document[i], cursor[i]); cursor[i]++
		:: else
		fi;
		if
		:: AT_END(i) && NEWER(draft[i], version[i]) -> act(i, draft[i], draft_document[i])
		:: else
		fi }

	/* Adopts what another node has in force. */
	:: atomic { j = (i + 1) % NODES;
		if
		:: NEWER(version[j], version[i]) && version[j] > 0 ->
			act(i, version[j], inforce[j]);
			if
			:: draft[i] < version[i] -> draft[i] = version[i]; draft_document[i] = inforce[i]
			:: else
			fi
		:: else
		fi;
		j = 0 }

	/* An operator publishes what was edited from the version shown here. */
	:: atomic { length < LENGTH && next_document < 4 ->
		append(PUBLISH, version[i], next_document); next_document++ }

	/* Repeats what is in force here, as far as this node knows. */
	:: atomic { version[i] > 0 && length < LENGTH -> append(REPEAT, version[i], inforce[i]) }

	/* Starts anew with nothing. */
	:: atomic { i == 0 && cursor[0] > 0 ->
		cursor[0] = 0; version[0] = 0; inforce[0] = 0; draft[0] = 0; draft_document[0] = 0 }
	od
}

/* Records expire; a repeat of the version in force is always kept. */
proctype Expiry()
{
	byte k;
	do
	:: atomic { first < length ->
		k = first + 1;
		do
		:: k < length && kind[k] == REPEAT && base[k] == truth -> first++; break
		:: k < length && !(kind[k] == REPEAT && base[k] == truth) -> k++
		:: k >= length -> break
		od;
		k = 0 }
	od
}

init
{
	atomic { run Node(0); run Node(1); run Node(2); run Expiry() }
}
